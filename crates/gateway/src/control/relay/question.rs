use celeryhaven_types::store::ObjectVersion;
use http::Request;
use hyper::body::Incoming;

use crate::control::event::FeedKind;

/// When a relay is to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Until {
    /// As soon as something has changed.
    News,
    /// As soon as it has heard of the store anew: the asker is a relay and vouches for that itself.
    ///
    /// Guards against two relays that follow each other, after each has seen the other live and the
    /// rest silent: they would vouch for one another for ever. Only who asks the store answers this.
    Contact,
}

/// What a follower asks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) kind: FeedKind,
    /// The version up to which it has everything; it has nothing yet without one.
    pub(crate) from: Option<ObjectVersion>,
    pub(crate) wait_ms: u64,
    pub(crate) until: Until,
}

/// Longest wait that a follower may ask for, in milliseconds.
const WAIT_MS_MAX: u64 = 30_000;

/// Where followers ask; the number changes with the form of the answers.
const QUESTION_PREFIX: &str = "/v3/";

impl Until {
    /// The word used between nodes.
    const fn as_str(self) -> &'static str {
        match self {
            Self::News => "news",
            Self::Contact => "contact",
        }
    }
}

impl Question {
    /// Reads a path such as `/v3/targets/120/2000/news`; a first question has `-` for its version.
    pub(super) fn read(request: &Request<Incoming>) -> Option<Self> {
        let mut words = request.uri().path().strip_prefix(QUESTION_PREFIX)?.split('/');
        let word = words.next()?;
        let kind = [FeedKind::Configuration, FeedKind::Targets]
            .into_iter()
            .find(|kind| kind.as_str() == word)?;
        let from = match words.next()? {
            "-" => None,
            version => Some(ObjectVersion::new(version.parse().ok()?)),
        };
        let wait_ms: u64 = words.next()?.parse().ok()?;
        let word = words.next()?;
        let until =
            [Until::News, Until::Contact].into_iter().find(|until| until.as_str() == word)?;
        Some(Self { kind, from, wait_ms: wait_ms.min(WAIT_MS_MAX), until })
    }

    pub(super) fn path(&self) -> String {
        let from = self.from.map_or_else(|| "-".to_owned(), |version| version.to_string());
        let Self { kind, wait_ms, until, .. } = self;
        format!("{QUESTION_PREFIX}{}/{from}/{wait_ms}/{}", kind.as_str(), until.as_str())
    }
}
