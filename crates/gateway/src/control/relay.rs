use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use bytes::Bytes;
use celeryhaven_clock::BootClock;
use celeryhaven_fleet::{ChangeLog, RelayAnswer};
use celeryhaven_http::ChannelPool;
use celeryhaven_types::store::ObjectVersion;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol::Timer;

use crate::control::event::{ControlEvent, Fed, FeedNews};
use crate::control::suspicions::Suspicion;
use crate::traffic::AnswerBody;

/// How much longer than its wait a relay's answer may take, in milliseconds.
///
/// A relay that died or was cut off is left for the store after it.
pub(crate) const ANSWER_SLACK_MS: u64 = 300;

/// Where a node is told a suspicion, and the longest one.
const SUSPICION_PATH: &str = "/v1/suspicion";
const SUSPICION_BYTES_MAX: usize = 2 * 1024;

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
    async fn answer(self, asked: Asked) -> Response<AnswerBody> {
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

    /// Whether a node has shown that it reads the store.
    fn is_shown_token(&self, request: &Request<Incoming>) -> bool {
        let expected = format!("Bearer {}", self.token);
        let given = request.headers().get(AUTHORIZATION);
        given.is_some_and(|given| given.as_bytes() == expected.as_bytes())
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

/// Answers another node: one that follows this one, or one that tells a suspicion.
pub(crate) async fn answer_peer(
    relay: Relay,
    events: Sender<ControlEvent>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if !relay.is_shown_token(&request) {
        return plain(StatusCode::UNAUTHORIZED);
    }
    if request.uri().path() == SUSPICION_PATH {
        let Some(suspicion) = read_suspicion(request).await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        events.send(ControlEvent::Suspicion(suspicion)).await.unwrap_or_default();
        return plain(StatusCode::OK);
    }
    match Asked::read(&request) {
        Some(asked) => relay.answer(asked).await,
        None => plain(StatusCode::NOT_FOUND),
    }
}

async fn read_suspicion(request: Request<Incoming>) -> Option<Suspicion> {
    let body = Limited::new(request.into_body(), SUSPICION_BYTES_MAX).collect().await.ok()?;
    postcard::from_bytes(&body.to_bytes()).ok()
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
    let answer = call_peer(channels, relay, &path, Bytes::new(), wait_ms).await?;
    postcard::from_bytes(&answer).ok()
}

/// Tells the node that decides of a suspicion; a loss is only a delay, since the list shows it too.
pub(crate) async fn tell_peer(channels: &ChannelPool, peer: &RelayAddress, suspicion: &Suspicion) {
    let Ok(body) = postcard::to_allocvec(suspicion) else { return };
    call_peer(channels, peer, SUSPICION_PATH, body.into(), 0).await.unwrap_or_default();
}

/// One exchange with a node, which may wait that long before it answers.
async fn call_peer(
    channels: &ChannelPool,
    peer: &RelayAddress,
    path: &str,
    body: Bytes,
    wait_ms: u64,
) -> Option<Bytes> {
    let mut request = Request::new(Full::new(body));
    *request.uri_mut() = path.parse().ok()?;
    let token = HeaderValue::from_str(&format!("Bearer {}", peer.token)).ok()?;
    request.headers_mut().insert(AUTHORIZATION, token);
    let late = async {
        Timer::after(Duration::from_millis(wait_ms + ANSWER_SLACK_MS)).await;
        None
    };
    let exchange = async {
        let (mut channel, _) = channels.take(peer.address).await.ok()?;
        let response = channel.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        if channel.settle().await {
            channels.put(peer.address, channel, None);
        }
        Some(body)
    };
    smol::future::or(exchange, late).await
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = status;
    response
}
