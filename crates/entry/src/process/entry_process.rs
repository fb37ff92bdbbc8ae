use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_global_executor::GlobalExecutorConfig;
use celeryhaven_link::LinkEndpoint;
use celeryhaven_node::{EntryEvent, EntryNode};
use celeryhaven_policy::{FairPolicy, FairSettings};
use celeryhaven_settings::EntrySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_types::Incarnation;
use slog::{Logger, info};
use snafu::ResultExt;
use trillium_server_common::ServerHandle;

use crate::control::{ActionExecutor, Calls, ControlHandle, ControlLoop, Query, Reader};
use crate::exchange::{AnswerCache, Registry};
use crate::forward::Forwarder;
use crate::http::{self, HttpContext, Limits};
use crate::peer::Peers;
use crate::process::node_settings::{new_incarnation, node_settings, random_seed};
use crate::process::sockets::Sockets;
use crate::process::{ProcessError, ThreadSnafu};

/// A running entry.
pub struct EntryProcess {
    control: ControlHandle,
    thread: Option<JoinHandle<()>>,
    server: ServerHandle,
    endpoint: LinkEndpoint,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    incarnation: Incarnation,
    metrics: EntryMetrics,
}

/// Handle that makes a running entry leave.
#[derive(Clone)]
pub struct Leaver(ControlHandle);

impl Leaver {
    /// Starts a graceful stop: address answers omit this node, and the process exits when drained.
    pub fn leave(&self) {
        self.0.send_control(EntryEvent::Leave);
    }
}

impl EntryProcess {
    /// Opens the sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// A credential, socket, thread or random seed is not available.
    pub fn start(settings: &EntrySettings, log: Logger) -> Result<Self, ProcessError> {
        start_traffic_threads(settings.traffic_threads);
        let Sockets { settings, listener, http_address, endpoint, peer_address } =
            Sockets::open(settings)?;
        let settings = &settings;
        let incarnation = new_incarnation(settings)?;
        let (metrics, control) = (EntryMetrics::new(), ControlHandle::default());
        let registry = Arc::<Registry>::default();
        let peers = Peers::new(
            control.clone(),
            endpoint.clone(),
            incarnation.clone(),
            metrics.clone(),
            log.clone(),
        );
        let context = HttpContext {
            control: control.clone(),
            registry: registry.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
            incarnation: incarnation.clone(),
            limits: Limits::new(settings),
        };
        let server = http::serve(listener, context.clone())?;
        smol::spawn(peers.clone().accept_links(context)).detach();
        let action_executor =
            action_executor(settings, &control, registry, (&metrics, &log), peers);
        let node_settings = node_settings(settings, incarnation.clone());
        let thread = start_control(node_settings, &control, action_executor, &metrics)?;
        info!(log, "started"; "incarnation" => incarnation.to_string(),
            "http" => http_address.to_string(), "peer" => peer_address.to_string());
        let thread = Some(thread);
        Ok(Self {
            control,
            thread,
            server,
            endpoint,
            http_address,
            peer_address,
            incarnation,
            metrics,
        })
    }

    /// Returns the HTTP address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the link address for other entries.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Returns a handle to stop the entry from another thread.
    pub fn leaver(&self) -> Leaver {
        Leaver(self.control.clone())
    }

    /// Waits until the node has left and all answers are sent.
    ///
    /// # Errors
    ///
    /// The control thread panicked; returned at once, because no request can be served without it.
    pub fn wait_left(mut self) -> Result<(), ProcessError> {
        let ended = self.thread.take().map_or(Ok(()), JoinHandle::join);
        ended.map_err(|_| ProcessError::ControlEnded)?;
        self.server.shut_down().block();
        self.endpoint.close();
        Ok(())
    }

    /// Stops at once and interrupts open answers, like the loss of the VM.
    pub fn kill(mut self) {
        self.control.send_query(Query::Stop);
        self.endpoint.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        drop(self.server.shut_down());
    }
}

fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".into());
    async_global_executor::init_with_config(config);
}

fn action_executor(
    settings: &EntrySettings,
    control: &ControlHandle,
    registry: Arc<Registry>,
    (metrics, log): (&EntryMetrics, &Logger),
    peers: Peers,
) -> ActionExecutor {
    let cache_bytes = usize::try_from(settings.kept_answers_bytes).unwrap_or(usize::MAX);
    let answers = Arc::new(AnswerCache::new(cache_bytes));
    let timeout = Duration::from_millis(settings.store_timeout_ms);
    let calls = Calls::new(metrics.process.clone(), log.clone());
    ActionExecutor {
        control: control.clone(),
        registry,
        answers: answers.clone(),
        forwarder: Forwarder::new(control.clone(), answers, metrics.clone(), settings),
        store: StoreClient::new(settings.object_api, timeout),
        reader: Reader::new(control.clone(), settings, calls.clone()),
        peers,
        calls,
    }
}

fn start_control(
    settings: celeryhaven_node::EntrySettings,
    control: &ControlHandle,
    action_executor: ActionExecutor,
    metrics: &EntryMetrics,
) -> Result<JoinHandle<()>, ProcessError> {
    let seed = random_seed()?;
    let policy_seed = settings.incarnation.boot.get();
    let policy = FairPolicy::new(FairSettings::new(policy_seed));
    let node = EntryNode::new(settings, policy, seed);
    let control = ControlLoop::new(node, control.clone(), action_executor, metrics.clone());
    thread::Builder::new().name("control".into()).spawn(move || control.run()).context(ThreadSnafu)
}
