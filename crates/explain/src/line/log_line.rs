use std::time::UNIX_EPOCH;

use celeryhaven_derives::state;
use serde::Deserialize;

state! {
    /// One line that a gateway has written.
    pub struct LogLine {
        /// When it was written, in milliseconds since 1970.
        pub at_ms: u64,
        /// The line as it was found, from its first brace on.
        pub text: String,
        /// What it says.
        pub fields: Fields,
    }

    /// The fields that explanations use; which of them a line has depends on its message.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct Fields {
        /// When, as RFC 3339.
        pub ts: String,
        /// What happened.
        pub msg: String,
        /// The node that wrote it.
        pub node: String,
        /// The request.
        pub request_id: Option<String>,
        /// Its route.
        pub route: Option<String>,
        /// What became of a request or of an order.
        pub outcome: Option<String>,
        /// From a request's arrival to its end, in milliseconds.
        pub took_ms: Option<u64>,
        /// A target.
        pub target: Option<String>,
        /// A fabric domain.
        pub domain: Option<String>,
        /// A replica.
        pub replica: Option<String>,
        /// What happened to a replica.
        pub change: Option<String>,
        /// Which order.
        pub order: Option<String>,
        /// A model.
        pub model: Option<String>,
        /// What a probe showed.
        pub reachability: Option<String>,
    }
}

impl LogLine {
    /// Reads a line; what stands before its first brace, such as a collector's own time, is left out.
    ///
    /// `None` if it is not a line of a gateway.
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
