use celeryhaven_derives::data;

use crate::observed::OperationId;

data! {
    /// Part of an answer, as marked by its target.
    #[derive(Copy, Eq)]
    pub struct Piece {
        /// The operation that it answers.
        pub operation: OperationId,
        /// Index in the answer, from 0.
        pub index: u32,
    }

    /// A finished answer as received by a caller.
    #[derive(Eq)]
    pub struct Answer {
        /// The pieces in order of receipt.
        pub pieces: Vec<Piece>,
    }
}

impl Answer {
    /// Whether this is the complete answer to an operation.
    ///
    /// ```
    /// use celeryhaven_checks::{Answer, OperationId};
    /// let own = Answer::whole(OperationId::new(1), 3);
    /// assert!(own.is_whole(OperationId::new(1), 3));
    /// assert!(!own.is_whole(OperationId::new(2), 3));
    /// assert!(!own.is_whole(OperationId::new(1), 4));
    /// ```
    pub fn is_whole(&self, operation: OperationId, pieces: u32) -> bool {
        *self == Self::whole(operation, pieces)
    }

    /// Returns the complete answer to an operation.
    pub fn whole(operation: OperationId, pieces: u32) -> Self {
        Self { pieces: (0..pieces).map(|index| Piece { operation, index }).collect() }
    }
}
