use celeryhaven_derives::state;

state! {
    /// What becomes of a body next.
    #[derive(Copy, Eq)]
    pub enum Decision {
        /// It may be read.
        Read,
        /// Nothing more of it is read until a later decision.
        Wait,
        /// It is not read; its request has not run.
        Refuse(BodyRefusal),
    }

    /// Why a body gets no room, and when its caller may come back.
    #[derive(Copy, Eq)]
    pub struct BodyRefusal {
        /// The reason.
        pub reason: RefusalReason,
        /// Retry delay to suggest, in milliseconds.
        pub retry_after_ms: u64,
    }

    /// Why a body gets no room.
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// The bodies before it are not expected to end in time.
        NoRoom,
        /// It waited until its request could no longer be answered in time.
        WaitedTooLong,
        /// Its caller sent too slowly while others needed the room.
        SlowCaller,
    }
}

impl RefusalReason {
    /// Returns the text for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::WaitedTooLong => "waited too long",
            Self::SlowCaller => "slow caller",
        }
    }
}
