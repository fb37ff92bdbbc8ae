use std::net::SocketAddr;
use std::path::PathBuf;

use celeryhaven_types::{DataCentreName, NodeName};

use crate::field::Kind;
use crate::yaml::Node;

/// A type that can be read from the value of a setting.
pub(crate) trait FromNode: Sized {
    /// Converts a node; returns `None` if `kind` does not accept its value.
    fn from_node(node: &Node, kind: &Kind) -> Option<Self>;
}

impl FromNode for u64 {
    fn from_node(node: &Node, kind: &Kind) -> Option<Self> {
        let Kind::Number { min, max, .. } = kind else { return None };
        node.as_text()?.parse().ok().filter(|value| (min..=max).contains(&value))
    }
}

impl FromNode for usize {
    fn from_node(node: &Node, kind: &Kind) -> Option<Self> {
        u64::from_node(node, kind)?.try_into().ok()
    }
}

impl FromNode for u32 {
    fn from_node(node: &Node, kind: &Kind) -> Option<Self> {
        u64::from_node(node, kind)?.try_into().ok()
    }
}

impl FromNode for bool {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        node.as_text()?.parse().ok()
    }
}

impl FromNode for f64 {
    fn from_node(node: &Node, kind: &Kind) -> Option<Self> {
        let Kind::Decimal { min, max, .. } = kind else { return None };
        node.as_text()?.parse().ok().filter(|value| (min..=max).contains(&value))
    }
}

impl FromNode for SocketAddr {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        node.as_text()?.parse().ok()
    }
}

impl FromNode for Vec<SocketAddr> {
    fn from_node(node: &Node, kind: &Kind) -> Option<Self> {
        match node {
            Node::List(items) => {
                items.iter().map(|item| SocketAddr::from_node(&item.node, kind)).collect()
            }
            _ => None,
        }
    }
}

impl FromNode for PathBuf {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        node.as_text().filter(|text| !text.is_empty()).map(Self::from)
    }
}

impl FromNode for NodeName {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        as_host_label(node).map(Self::new)
    }
}

impl FromNode for DataCentreName {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        as_host_label(node).map(Self::new)
    }
}

/// Returns the text if it is also valid as a label of a host name in a certificate.
fn as_host_label(node: &Node) -> Option<&str> {
    let is_accepted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    node.as_text().filter(|text| (1..=63).contains(&text.len()) && text.chars().all(is_accepted))
}
