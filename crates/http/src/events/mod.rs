//! Splitting of event streams at event boundaries.

mod event_splitter;

pub use event_splitter::EventSplitter;
