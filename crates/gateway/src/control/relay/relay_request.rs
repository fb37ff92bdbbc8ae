use celeryhaven_http::IncomingBody;
use celeryhaven_types::store::ObjectVersion;
use http::Request;

use crate::control::event::FeedKind;

/// Condition for an answer before the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitFor {
    /// The objects have changed.
    Change,
    /// The relay has been in contact with the store, by itself or through its source. A relay that
    /// follows another one waits for this.
    Contact,
}

/// Long poll of a follower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayRequest {
    pub(crate) kind: FeedKind,
    /// Version up to which the follower is up to date; `None` if it has no objects yet.
    pub(crate) from: Option<ObjectVersion>,
    pub(crate) wait_ms: u64,
    pub(crate) wait_for: WaitFor,
}

/// Longest wait that a follower may request, in milliseconds.
const WAIT_MS_MAX: u64 = 30_000;

/// Path prefix of relay requests; the number is the version of the message format.
const REQUEST_PATH_PREFIX: &str = "/v3/";

impl WaitFor {
    /// Returns the name used between nodes.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Change => "news",
            Self::Contact => "contact",
        }
    }
}

impl RelayRequest {
    /// Parses a path such as `/v3/targets/120/2000/news`; the version is `-` in a first request.
    pub(super) fn parse(request: &Request<IncomingBody>) -> Option<Self> {
        let mut segments = request.uri().path().strip_prefix(REQUEST_PATH_PREFIX)?.split('/');
        let segment = segments.next()?;
        let kind = FeedKind::ALL.into_iter().find(|kind| kind.as_str() == segment)?;
        let from = match segments.next()? {
            "-" => None,
            version => Some(ObjectVersion::new(version.parse().ok()?)),
        };
        let wait_ms: u64 = segments.next()?.parse().ok()?;
        let segment = segments.next()?;
        let wait_for = [WaitFor::Change, WaitFor::Contact]
            .into_iter()
            .find(|wait_for| wait_for.as_str() == segment)?;
        Some(Self { kind, from, wait_ms: wait_ms.min(WAIT_MS_MAX), wait_for })
    }

    pub(super) fn path(&self) -> String {
        let from = self.from.map_or_else(|| "-".to_owned(), |version| version.to_string());
        let Self { kind, wait_ms, wait_for, .. } = self;
        format!("{REQUEST_PATH_PREFIX}{}/{from}/{wait_ms}/{}", kind.as_str(), wait_for.as_str())
    }
}
