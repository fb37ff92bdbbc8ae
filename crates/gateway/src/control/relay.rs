use std::cell::{Cell, RefCell};
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
    /// Whether it was heard from the store itself.
    is_direct: Cell<bool>,
    waiting: RefCell<Vec<Sender<()>>>,
}

/// Whom a relay has heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// Another relay.
    Relay,
}

/// When a relay is to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Until {
    /// As soon as something has changed.
    News,
    /// As soon as it has heard of the store anew: the asker is a relay and vouches for that itself.
    ///
    /// Guards against two relays that follow each other, after each has seen the other live and the
    /// rest silent: they would vouch for one another for ever. Only who asks the store answers this.
    Heard,
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

    /// Waits for what a follower asks for.
    async fn answer(&self, question: &Question) -> RelayAnswer {
        loop {
            if question.until == Until::Heard && !self.is_direct.get() {
                return RelayAnswer::Stale;
            }
            let new = self.log.borrow().since(BootClock.now(), question.from);
            if let Some(answer) = new {
                return answer;
            }
            self.wait().recv().await.unwrap_or_default();
            if question.until == Until::Heard && self.is_direct.get() {
                return self.nothing_new(question);
            }
        }
    }

    /// The answer to a follower that has waited, or that asked to hear of the store.
    fn nothing_new(&self, question: &Question) -> RelayAnswer {
        let from = question.from.unwrap_or_default();
        self.log.borrow().nothing_new(BootClock.now(), from)
    }
}

impl Relay {
    /// Keeps nothing yet.
    pub(crate) fn new(token: &str) -> Self {
        Self { token: token.into(), configuration: Rc::default(), targets: Rc::default() }
    }

    /// Takes over what a feed of this node has brought, from one version up to another.
    pub(crate) fn hear(
        &self,
        fed: Fed,
        (from, version): (Option<ObjectVersion>, ObjectVersion),
        news: &FeedNews,
        source: Source,
    ) {
        let log = self.log(fed);
        let mut kept = log.log.borrow_mut();
        let store = match news {
            FeedNews::Listed { objects, store } => {
                kept.listed(version, objects);
                *store
            }
            FeedNews::Changed { changes, store } => {
                kept.changed(from.unwrap_or_default(), version, changes);
                *store
            }
            FeedNews::Failed => return,
        };
        kept.heard(BootClock.now(), store);
        drop(kept);
        log.is_direct.set(source == Source::Store);
        log.wake();
    }

    /// Whether some who ask could not be answered for want of a whole list.
    pub(crate) fn lacks_list(&self, fed: Fed) -> bool {
        self.log(fed).log.borrow().lacks_list()
    }

    /// Vouches for nothing any more, since no node is to follow this one.
    pub(crate) fn silence(&self, fed: Fed) {
        self.log(fed).log.borrow_mut().silence();
    }

    /// Answers a node that follows this one.
    async fn answer(self, question: Question) -> Response<AnswerBody> {
        let log = self.log(question.fed);
        let answer = smol::future::or(log.answer(&question), async {
            Timer::after(Duration::from_millis(question.wait_ms)).await;
            log.nothing_new(&question)
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

/// What a follower asks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) fed: Fed,
    /// The version up to which it has everything; it has nothing yet without one.
    pub(crate) from: Option<ObjectVersion>,
    pub(crate) wait_ms: u64,
    pub(crate) until: Until,
}

/// Longest wait that a follower may ask for, in milliseconds.
const WAIT_MS_MAX: u64 = 30_000;

/// Where followers ask; the number changes with the form of the answers.
const QUESTION_PREFIX: &str = "/v2/";

impl Until {
    /// The word used between nodes.
    const fn as_str(self) -> &'static str {
        match self {
            Self::News => "news",
            Self::Heard => "heard",
        }
    }
}

impl Question {
    /// Reads a path such as `/v2/targets/120/2000/news`; a first question has `-` for its version.
    fn read(request: &Request<Incoming>) -> Option<Self> {
        let mut words = request.uri().path().strip_prefix(QUESTION_PREFIX)?.split('/');
        let word = words.next()?;
        let fed =
            [Fed::Configuration, Fed::Targets].into_iter().find(|fed| fed.as_str() == word)?;
        let from = match words.next()? {
            "-" => None,
            version => Some(ObjectVersion::new(version.parse().ok()?)),
        };
        let wait_ms: u64 = words.next()?.parse().ok()?;
        let word = words.next()?;
        let until = [Until::News, Until::Heard].into_iter().find(|until| until.as_str() == word)?;
        Some(Self { fed, from, wait_ms: wait_ms.min(WAIT_MS_MAX), until })
    }

    fn path(&self) -> String {
        let from = self.from.map_or_else(|| "-".to_owned(), |version| version.to_string());
        let Self { fed, wait_ms, until, .. } = self;
        format!("{QUESTION_PREFIX}{}/{from}/{wait_ms}/{}", fed.as_str(), until.as_str())
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
    match Question::read(&request) {
        Some(question) => relay.answer(question).await,
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
    question: &Question,
) -> Option<RelayAnswer> {
    let path = question.path();
    let answer = call_peer(channels, relay, &path, Bytes::new(), question.wait_ms).await?;
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
