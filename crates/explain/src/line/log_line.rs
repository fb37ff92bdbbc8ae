use std::time::UNIX_EPOCH;

use celeryhaven_derives::state;
use serde::Deserialize;

state! {
    /// A log line of a gateway.
    pub struct LogLine {
        /// Time of the line, in Unix milliseconds.
        pub at_ms: u64,
        /// The text of the line from its first brace.
        pub text: String,
        /// The parsed fields.
        pub fields: Fields,
    }

    /// The fields used by the analysis; which of them a line has depends on its message.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct Fields {
        /// Time of the line, as RFC 3339.
        pub ts: String,
        /// Message.
        pub msg: String,
        /// Name of the node that wrote the line.
        pub node: String,
        /// Id of the request.
        pub request_id: Option<String>,
        /// Name of the request's route.
        pub route: Option<String>,
        /// Outcome of a request or of an order.
        pub outcome: Option<String>,
        /// Time from a request's arrival to its completion, in milliseconds.
        pub took_ms: Option<u64>,
        /// Name of the target.
        pub target: Option<String>,
        /// Name of the fabric domain.
        pub domain: Option<String>,
        /// Name of the replica.
        pub replica: Option<String>,
        /// State change of a replica.
        pub change: Option<String>,
        /// Kind of order.
        pub order: Option<String>,
        /// Name of the model.
        pub model: Option<String>,
        /// Result of a probe.
        pub reachability: Option<String>,
    }
}

impl LogLine {
    /// Parses a line. Text before its first brace, such as a log collector's prefix, is ignored.
    ///
    /// Returns `None` if the line is not a gateway log line.
    ///
    /// ```
    /// use celeryhaven_explain::LogLine;
    /// let text = r#"12.5 front-1 {"msg":"started","ts":"2026-01-01T00:00:01.5Z","node":"front-1"}"#;
    /// let line = LogLine::parse(text).unwrap();
    /// assert_eq!(line.at_ms % 100_000, 1_500);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let text = &text[text.find('{')?..];
        let fields: Fields = serde_json::from_str(text).ok()?;
        let at = humantime::parse_rfc3339(&fields.ts).ok()?;
        let at_ms = at.duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
        Some(Self { at_ms, text: text.to_owned(), fields })
    }
}
