use celeryhaven_derives::state;
use celeryhaven_types::{OrganisationName, ReplicaName, RequestId, Verdict};
use slog::{Logger, info};

state! {
    /// Log record of a completed request.
    pub struct RequestRecord {
        /// The request.
        pub request_id: RequestId,
        /// The organisation; `None` if the caller was not identified.
        pub organisation: Option<OrganisationName>,
        /// The replica that answered.
        pub replica: Option<ReplicaName>,
        /// The verdict sent to the caller.
        pub verdict: Verdict,
        /// The refusal's code, if the request was refused.
        pub code: Option<String>,
        /// Time from arrival to completion, in milliseconds.
        pub took_ms: u64,
        /// Number of tokens or bytes delivered.
        pub delivered: u64,
    }
}

impl RequestRecord {
    /// Writes the record to the log.
    pub fn write(&self, log: &Logger) {
        info!(log, "request ended";
            "request_id" => self.request_id.as_str(),
            "organisation" => self.organisation.as_ref().map(OrganisationName::as_str),
            "replica" => self.replica.as_ref().map(ReplicaName::as_str),
            "verdict" => self.verdict.as_str(),
            "code" => self.code.as_deref(),
            "took_ms" => self.took_ms,
            "delivered" => self.delivered,
        );
    }
}
