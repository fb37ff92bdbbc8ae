use celeryhaven_derives::state;

state! {
    /// Result of entering a request with a key into the ledger.
    #[derive(Copy, Eq)]
    pub enum EnterOutcome<T> {
        /// The request runs; its completion must be reported to the ledger.
        Run,
        /// Another request with this key is running; this one waits for its completion.
        Wait,
        /// The request receives the cached answer of another one.
        Replay {
            /// Request whose answer is replayed.
            of: T,
        },
        /// The key may have run, and no answer is available.
        Spent,
        /// The key was used for a request with different content.
        Mismatch,
        /// The ledger is full, and the key is not in it.
        Full,
    }

    /// Waiting requests released by a request that completed without an answer.
    pub struct Released<T> {
        /// Requests that receive the same refusal.
        pub waiting: Vec<T>,
        /// Longest-waiting request, which runs now instead.
        pub promoted: Option<T>,
    }

    /// A cached answer that was dropped.
    #[derive(Copy, Eq)]
    pub struct DroppedAnswer<T> {
        /// Request whose answer was dropped.
        pub of: T,
    }
}

/// Execution state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState<T> {
    /// No request with the key has run; the next one runs.
    Idle,
    /// A request with the key is running.
    Running { by: T },
    /// A request was answered completely, and the answer is cached.
    Answered { by: T },
    /// The key may have run, and no answer is available.
    Spent,
}
