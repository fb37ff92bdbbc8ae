use celeryhaven_types::TimeMs;
use celeryhaven_types::store::StoreRequest;

use crate::controller::interface::ControllerAction;
use crate::controller::state::{Calls, Route};

/// Collects the actions of a controller's components.
#[derive(Debug)]
pub(crate) struct Outbox<'a> {
    pub(crate) now: TimeMs,
    pub(crate) calls: &'a mut Calls,
    pub(crate) actions: &'a mut Vec<ControllerAction>,
}

impl Outbox<'_> {
    pub(crate) fn store(&mut self, route: Route, request: StoreRequest) {
        let call = self.calls.begin(self.now, route);
        self.actions.push(ControllerAction::Store { call, request });
    }

    pub(crate) fn push(&mut self, action: ControllerAction) {
        self.actions.push(action);
    }
}
