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
    /// Whether this node would follow the source if all sources answered.
    is_preferred: bool,
    /// Closed when another source is chosen, or the source answers again.
    changed: Option<(Sender<()>, Receiver<()>)>,
}

impl SharedSource {
    /// Returns the source, and a channel that closes when another one is chosen or it answers again.
    pub(super) fn current(&self) -> (Option<Source>, Receiver<()>) {
        let mut state = self.state.borrow_mut();
        let (_, changed) = state.changed.get_or_insert_with(|| bounded(1));
        let changed = changed.clone();
        (state.source.clone(), changed)
    }

    /// Whether a source is followed, and would be if all sources answered.
    pub(super) fn is_preferred(&self, source: &Source) -> bool {
        let state = self.state.borrow();
        state.is_preferred && state.source.as_ref() == Some(source)
    }

    /// Lets all feeds poll the source at once, because it answers again.
    pub(super) fn wake(&self) {
        self.state.borrow_mut().changed = None;
    }

    /// Returns whether the source is a new one.
    pub(super) fn set(&self, source: Source, is_preferred: bool) -> bool {
        let mut state = self.state.borrow_mut();
        let source = Some(source);
        let is_new = state.source != source;
        state.is_preferred = is_preferred;
        if is_new {
            state.source = source;
            // Dropping the sender wakes the receivers.
            state.changed = None;
        }
        is_new
    }
}
