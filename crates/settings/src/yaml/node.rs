use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A node of a YAML tree.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    /// An empty value.
    Empty,
    /// A string, number or boolean, as text.
    Scalar(String),
    /// A sequence.
    List(Vec<Located>),
    /// A mapping, in file order.
    Mapping(Vec<(Located, Located)>),
}

/// A node and its line, starting at 1.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Located {
    pub(crate) line: u64,
    pub(crate) node: Node,
}

impl Node {
    /// Returns a short description of the node for error messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Empty => "empty".into(),
            Self::Scalar(text) => text.chars().take(80).collect(),
            Self::List(items) => format!("a list of {}", items.len()),
            Self::Mapping(entries) => format!("a mapping of {}", entries.len()),
        }
    }

    /// Returns the text of a scalar.
    pub(crate) fn as_text(&self) -> Option<&str> {
        match self {
            Self::Scalar(text) => Some(text),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for Located {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Node>::deserialize(deserializer)?;
        Ok(Self { line: spanned.referenced.line(), node: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::Scalar(text.into()))
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Mapping(entries))
    }
}
