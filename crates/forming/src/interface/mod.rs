//! What a [`DomainPlanner`](crate::DomainPlanner) hears and does, and its settings.

mod action;
mod event;
mod settings;
mod view;

pub use action::{FormingAction, OrderId};
pub use event::{FormingEvent, Reachability};
pub use settings::FormingSettings;
pub use view::{FormingView, ListedDomain};
