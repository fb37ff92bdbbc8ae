//! YAML as a tree of nodes with line numbers.

mod document;
mod node;

pub(crate) use document::Document;
pub(crate) use node::{Located, Node};
