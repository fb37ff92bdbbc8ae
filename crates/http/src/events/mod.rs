//! Streams of events, cut where another target can go on.

mod event_splitter;

pub use event_splitter::EventSplitter;
