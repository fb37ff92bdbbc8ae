//! The links of this node to the targets of each service.

mod link_check;
mod shared_links;

pub(crate) use link_check::LinkCheck;
pub(crate) use shared_links::SharedLinks;
