use std::cell::RefCell;

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_sources::Source;

/// The source that all feeds of a node follow; the lead chooses it.
#[derive(Debug, Default)]
pub(crate) struct SharedSource {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    source: Option<Source>,
    /// Closed when another source is chosen, or the feeds are to poll at once.
    changed: Option<(Sender<()>, Receiver<()>)>,
}

impl SharedSource {
    /// Returns the source, and a channel that closes when another one is chosen or it is to be polled at once.
    pub(super) fn current(&self) -> (Option<Source>, Receiver<()>) {
        let mut state = self.state.borrow_mut();
        let (_, changed) = state.changed.get_or_insert_with(|| bounded(1));
        let changed = changed.clone();
        (state.source.clone(), changed)
    }

    /// Lets all feeds poll the source at once.
    pub(crate) fn wake(&self) {
        self.state.borrow_mut().changed = None;
    }

    /// Returns whether the source is a new one.
    pub(super) fn set(&self, source: Source) -> bool {
        let mut state = self.state.borrow_mut();
        let source = Some(source);
        let is_new = state.source != source;
        if is_new {
            state.source = source;
            // Dropping the sender wakes the receivers.
            state.changed = None;
        }
        is_new
    }
}
