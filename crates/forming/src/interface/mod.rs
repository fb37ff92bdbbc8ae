//! Events, actions, input and settings of a [`DomainPlanner`](crate::DomainPlanner).

mod action;
mod event;
mod settings;
mod view;

pub use action::{FormationFailure, FormingAction, OrderId, PlannerId};
pub use event::{FormingEvent, Reachability};
pub use settings::FormingSettings;
pub use view::{FormingView, ListedDomain};
