use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{ChangeLog, RelayAnswer};
use celeryhaven_http::ChannelPool;
use celeryhaven_types::store::ObjectVersion;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use smol::Timer;

use crate::control::event::{Fed, FeedNews};
use crate::traffic::AnswerBody;

/// How much longer than its wait a relay's answer may take, in milliseconds.
///
/// A relay that died or was cut off is left for the store after it.
pub(crate) const ANSWER_SLACK_MS: u64 = 300;

/// What this node keeps for those that follow it, one log for each kind.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    token: Rc<str>,
    configuration: Rc<RelayLog>,
    targets: Rc<RelayLog>,
}

#[derive(Debug, Default)]
struct RelayLog {
    log: RefCell<ChangeLog>,
    waiting: RefCell<Vec<Sender<()>>>,
}

/// A relay as its record names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayAddress {
    pub(crate) address: SocketAddr,
    /// Shows that the asker has read the store.
    pub(crate) token: String,
}

impl RelayLog {
    fn wake(&self) {
        // Dropping the senders ends the waits.
        self.waiting.borrow_mut().clear();
    }

    fn wait(&self) -> Receiver<()> {
        let (sender, woken) = bounded(1);
        self.waiting.borrow_mut().push(sender);
        woken
    }
}

impl Relay {
    /// Keeps nothing yet.
    pub(crate) fn new(token: &str) -> Self {
        Self { token: token.into(), configuration: Rc::default(), targets: Rc::default() }
    }

    /// Takes over what this node's own feed from the store has brought.
    pub(crate) fn hear(&self, fed: Fed, version: ObjectVersion, news: &FeedNews) {
        let (now, log) = (BootClock.now(), self.log(fed));
        let mut kept = log.log.borrow_mut();
        let after_outage = match news {
            FeedNews::Listed { objects, after_outage } => {
                kept.listed(now, version, objects);
                *after_outage
            }
            FeedNews::Changed { changes, after_outage } => {
                kept.changed(now, version, changes);
                *after_outage
            }
            FeedNews::Failed => return,
        };
        if after_outage {
            kept.outage_over(now);
        }
        drop(kept);
        log.wake();
    }

    /// Vouches for nothing any more, since this node follows a relay itself.
    pub(crate) fn silence(&self, fed: Fed) {
        self.log(fed).log.borrow_mut().silence();
    }

    /// Answers a node that follows this one.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let Some(asked) = Asked::read(&request) else { return plain(StatusCode::NOT_FOUND) };
        let expected = format!("Bearer {}", self.token);
        let given = request.headers().get(AUTHORIZATION);
        if given.is_none_or(|given| given.as_bytes() != expected.as_bytes()) {
            return plain(StatusCode::UNAUTHORIZED);
        }
        let log = self.log(asked.fed);
        let answer = smol::future::or(new_for(log, asked.from), async {
            Timer::after(Duration::from_millis(asked.wait_ms)).await;
            let from = asked.from.unwrap_or_default();
            log.log.borrow().nothing_new(BootClock.now(), from)
        });
        match postcard::to_allocvec(&answer.await) {
            Ok(bytes) => Response::new(AnswerBody::whole(bytes)),
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    fn log(&self, fed: Fed) -> &RelayLog {
        match fed {
            Fed::Configuration => &self.configuration,
            Fed::Targets => &self.targets,
        }
    }
}

async fn new_for(log: &RelayLog, from: Option<ObjectVersion>) -> RelayAnswer {
    loop {
        let new = log.log.borrow().since(BootClock.now(), from);
        if let Some(answer) = new {
            return answer;
        }
        log.wait().recv().await.unwrap_or_default();
    }
}

/// What a follower asks.
struct Asked {
    fed: Fed,
    from: Option<ObjectVersion>,
    wait_ms: u64,
}

/// Longest wait that a follower may ask for, in milliseconds.
const WAIT_MS_MAX: u64 = 30_000;

impl Asked {
    /// Reads a path such as `/v1/targets/120/2000`; a first question has `-` for its version.
    fn read(request: &Request<Incoming>) -> Option<Self> {
        let mut words = request.uri().path().strip_prefix("/v1/")?.split('/');
        let fed = [Fed::Configuration, Fed::Targets];
        let word = words.next()?;
        let fed = fed.into_iter().find(|fed| fed.as_str() == word)?;
        let from = match words.next()? {
            "-" => None,
            version => Some(ObjectVersion::new(version.parse().ok()?)),
        };
        let wait_ms: u64 = words.next()?.parse().ok()?;
        Some(Self { fed, from, wait_ms: wait_ms.min(WAIT_MS_MAX) })
    }
}

/// Asks a relay what is new; `None` if it does not answer.
pub(crate) async fn ask_relay(
    channels: &ChannelPool,
    relay: &RelayAddress,
    fed: Fed,
    from: Option<ObjectVersion>,
    wait_ms: u64,
) -> Option<RelayAnswer> {
    let from = from.map_or_else(|| "-".to_owned(), |version| version.to_string());
    let path = format!("/v1/{}/{from}/{wait_ms}", fed.as_str());
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let token = HeaderValue::from_str(&format!("Bearer {}", relay.token)).ok()?;
    request.headers_mut().insert(AUTHORIZATION, token);
    let late = async {
        Timer::after(Duration::from_millis(wait_ms + ANSWER_SLACK_MS)).await;
        None
    };
    let exchange = async {
        let (mut channel, _) = channels.take(relay.address).await.ok()?;
        let response = channel.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if channel.settle().await {
            channels.put(relay.address, channel, None);
        }
        postcard::from_bytes(&body).ok()
    };
    smol::future::or(exchange, late).await
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = status;
    response
}
