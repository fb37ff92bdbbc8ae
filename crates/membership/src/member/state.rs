use celeryhaven_derives::data;

data! {
    /// State of a member; for equal refutation counts the later variant takes precedence.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MemberState {
        /// It answers probes.
        Alive,
        /// It answered neither a direct nor an indirect probe, and has not refuted the suspicion.
        Suspect,
        /// It did not refute the suspicion in time.
        Dead,
        /// It announced that it has stopped.
        Left,
    }
}

impl MemberState {
    /// Whether the member is alive or suspect.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
