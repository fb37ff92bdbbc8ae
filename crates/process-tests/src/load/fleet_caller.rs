use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use celeryhaven_stand_ins::caller::{Ask, Caller, Outcome, PlainCall, Reply};
use smol::Timer;

use crate::fleet::{Fleet, MODEL, SERVICE, api_key};
use crate::load::History;

/// Pause before a request is tried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Addresses and until when they may be used.
type KeptAddresses = Option<(Vec<SocketAddr>, Instant)>;

enum Request {
    Completion(Ask),
    Plain(PlainCall),
}

/// A caller of one organisation: asks for addresses, keeps them, tries again elsewhere.
#[derive(Clone, Debug)]
pub struct FleetCaller {
    caller: Caller,
    kept: Arc<Mutex<KeptAddresses>>,
    known: Vec<SocketAddr>,
    data_centre: String,
    patience: Duration,
}

impl FleetCaller {
    /// A caller that knows the entries' addresses as of the fleet's start.
    pub fn new(fleet: &Fleet, organisation: &str) -> Self {
        let known = (0..fleet.shape().nodes).map(|number| fleet.addresses().entry(number));
        Self {
            caller: Caller::new(api_key(organisation)).with_timeout(Duration::from_secs(30)),
            kept: Arc::default(),
            known: known.collect(),
            data_centre: "dc-1".to_owned(),
            patience: Duration::from_secs(60),
        }
    }

    /// Prefers another data centre.
    pub fn with_data_centre(mut self, data_centre: impl Into<String>) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets how long it goes on trying.
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// The caller underneath, which tries once.
    pub fn once(&self) -> &Caller {
        &self.caller
    }

    /// The addresses to use: those of the last answer while it may be kept, or a new answer.
    ///
    /// Any entry that answers is asked; those known from the start stand in if none does.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        let kept = self.lock().clone();
        if let Some((addresses, _)) = kept.filter(|(_, until)| Instant::now() < *until) {
            return addresses;
        }
        for entry in &self.known {
            let asked = Instant::now();
            let answer = self.caller.address_answer(*entry, &self.data_centre).await;
            if let Some((addresses, ttl)) = answer.filter(|(list, _)| !list.is_empty()) {
                *self.lock() = Some((addresses.clone(), asked + ttl));
                return addresses;
            }
        }
        self.known.clone()
    }

    fn lock(&self) -> MutexGuard<'_, KeptAddresses> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks for a completion until it is answered or patience ends.
    pub async fn complete(&self, prompt: &str, tokens: u32, stream: bool) -> History {
        let ask = Ask::new(MODEL, prompt, tokens).with_stream(stream);
        self.persist(prompt, &Request::Completion(ask)).await
    }

    /// Asks for completions one after another, until one is not answered within its patience.
    pub async fn complete_many(&self, prefix: &str, requests: usize, tokens: u32) -> Vec<History> {
        let mut histories = Vec::new();
        for number in 0..requests {
            let prompt = format!("{prefix} {number}");
            histories.push(self.complete(&prompt, tokens, number % 3 != 0).await);
            if !histories.last().is_some_and(History::answered) {
                break;
            }
        }
        histories
    }

    /// Reads something of the plain service until it is answered or patience ends.
    pub async fn look_up(&self, path: &str) -> History {
        let call = PlainCall::new("GET", format!("/services/{SERVICE}/{path}"));
        self.persist(path, &Request::Plain(call)).await
    }

    /// Changes something by the plain service, with a key of the system, once at most.
    pub async fn update(&self, marker: &str) -> History {
        let Some(key) = self.request_key().await else {
            return History { marker: marker.to_owned(), replies: Vec::new() };
        };
        let call = PlainCall::new("POST", format!("/services/{SERVICE}/lots"))
            .with_body(marker)
            .with_header("idempotency-key", key);
        self.persist(marker, &Request::Plain(call)).await
    }

    /// A request key, asked of whichever entry gives one.
    pub async fn request_key(&self) -> Option<String> {
        for entry in self.addresses().await {
            if let Some(key) = self.caller.request_key(entry).await {
                return Some(key);
            }
        }
        None
    }

    async fn attempt(&self, address: SocketAddr, request: &Request) -> Reply {
        match request {
            Request::Completion(ask) => self.caller.complete(address, ask).await,
            Request::Plain(call) => self.caller.call(address, call).await,
        }
    }

    /// Tries addresses in turn until the request is answered or patience ends.
    async fn persist(&self, marker: &str, request: &Request) -> History {
        let start = Instant::now();
        let mut replies = Vec::new();
        loop {
            let addresses = self.addresses().await;
            let address = addresses[replies.len() % addresses.len()];
            let reply = self.attempt(address, request).await;
            let over = matches!(reply.outcome, Outcome::Whole | Outcome::Foreign);
            replies.push(reply);
            if over || start.elapsed() > self.patience {
                return History { marker: marker.to_owned(), replies };
            }
            Timer::after(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}
