use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, unbounded};
use celeryhaven_http::{ConnectionPool, Listener, PoolSettings, ServerLimits, StopSignal};
use celeryhaven_settings::GatewaySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::GatewayMetrics;
use slog::{Logger, info, warn};
use smol::{LocalExecutor, Timer};
use snafu::ResultExt;

use crate::adapter::Adapter;
use crate::control::{Control, ControlEvent, ControlParts, TargetCalls};
use crate::http::{answer_caller, answer_lookup, answer_metrics, answer_ready};
use crate::process::ProcessError;
use crate::process::error::{ListenSnafu, RandomSnafu, ThreadSnafu};
use crate::process::signals::Signals;
use crate::traffic::{DispatchState, Dispatcher, TrafficReport, TrafficUpdate};

/// What callers may take until the configuration says it.
const FIRST_LIMITS: ServerLimits =
    ServerLimits { header_bytes_max: 16 * 1024, idle_timeout: Duration::from_secs(15) };

/// Channels to targets.
///
/// A connection stands within milliseconds inside a region; a target that leaves bytes
/// unacknowledged for longer than a stalled replica takes to show itself is cut off.
const TARGET_CHANNELS: PoolSettings = PoolSettings {
    connect_timeout: Duration::from_millis(300),
    tcp_user_timeout: Duration::from_millis(1_500),
    idle_timeout: Duration::from_secs(10),
    idle_max: 8,
};

/// Time before the end by force at which the process stops listening and ends its connections.
const LAST_MS: u64 = 1_500;

/// Time before the end by force at which the process ends whatever is still open.
const MARGIN_MS: u64 = 300;

/// Part of the repeated sends that all nodes may make which they use, since nodes do not see each
/// other's.
const RETRY_PART: f64 = 0.7;

/// Pools that share a node's repeated sends: one for each model of a service, mostly two.
const RETRY_POOLS: f64 = 2.0;

/// What both threads of a process are started with.
struct Parts<A> {
    settings: GatewaySettings,
    adapter: A,
    metrics: GatewayMetrics,
    log: Logger,
    events: Sender<ControlEvent>,
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// An address, a thread, signals or random numbers cannot be had.
pub fn run<A: Adapter>(
    settings: GatewaySettings,
    settings_file: &str,
    adapter: A,
    log: Logger,
) -> Result<(), ProcessError> {
    let signals = Signals::take()?;
    let seed = getrandom::u64().context(RandomSnafu)?;
    let (events, heard) = unbounded();
    let (updates, followed) = unbounded();
    let parts = Parts { settings, adapter, metrics: GatewayMetrics::new(), log, events };
    let token = format!("{:016x}", getrandom::u64().context(RandomSnafu)?);
    start_control(&parts, token, heard, updates)?;
    let executor = Rc::new(LocalExecutor::new());
    let log = parts.log.clone();
    let traffic = traffic(parts, settings_file, seed, followed, executor.clone(), signals);
    let ended = smol::block_on(executor.run(traffic));
    info!(log, "stopped");
    ended
}

fn start_control<A: Adapter>(
    parts: &Parts<A>,
    token: String,
    heard: Receiver<ControlEvent>,
    traffic: Sender<TrafficUpdate>,
) -> Result<(), ProcessError> {
    let Parts { settings, adapter, metrics, log, events } = parts;
    let (settings, adapter, metrics) = (settings.clone(), adapter.clone(), metrics.clone());
    let (log, events) = (log.clone(), events.clone());
    let boot = celeryhaven_clock::unix_ms();
    info!(log, "started"; "callers" => settings.caller_listen.to_string(), "boot" => boot);
    let address = settings.peer_listen;
    let peers = TcpListener::bind(address).context(ListenSnafu { address })?;
    let control = move || {
        let executor = Rc::new(LocalExecutor::new());
        let timeout = Duration::from_millis(settings.store_timeout_ms);
        let client = StoreClient::with_codec(settings.store, timeout, adapter.clone());
        let channels = ConnectionPool::new(executor.clone(), TARGET_CHANNELS);
        let targets = TargetCalls { adapter: adapter.clone(), channels };
        let parts = ControlParts {
            adapter,
            settings,
            client,
            targets,
            boot,
            token,
            events: (events, heard),
            traffic,
            metrics,
            log,
        };
        let control = Control::new(parts, executor.clone());
        control.answer_peers(peers);
        smol::block_on(executor.run(control.run()));
    };
    thread::Builder::new().name("control".into()).spawn(control).context(ThreadSnafu)?;
    Ok(())
}

async fn traffic<A: Adapter>(
    parts: Parts<A>,
    settings_file: &str,
    seed: u64,
    updates: Receiver<TrafficUpdate>,
    executor: Rc<LocalExecutor<'static>>,
    signals: Signals,
) -> Result<(), ProcessError> {
    let Parts { settings, adapter, metrics, log, events } = parts;
    let (news, heard) = unbounded();
    let earned = settings.retry_ratio * RETRY_PART;
    let extra = settings.retry_extra * RETRY_PART / RETRY_POOLS;
    let state = DispatchState::new(seed, earned, extra);
    let channels = ConnectionPool::new(executor.clone(), TARGET_CHANNELS);
    let gate =
        Dispatcher::new(adapter, executor.clone(), channels, state, metrics, log.clone(), news);
    let stop = StopSignal::default();
    let limits = Rc::new(Cell::new(FIRST_LIMITS));
    let open = listen(&settings, &gate, &stop, &limits)?;
    executor.spawn(gate.clone().apply_updates(updates)).detach();
    executor.spawn(gate.clone().run_timers()).detach();
    executor.spawn(pass_news(heard, events.clone())).detach();
    executor.spawn(keep_limits(gate.clone(), limits)).detach();
    signals.stopped(|| reload(settings_file, &settings, &log)).await;
    info!(log, "leaving"; "open_connections" => open.get());
    gate.state.borrow_mut().leaving_since = Some(gate.now());
    events.send(ControlEvent::Leave).await.unwrap_or_default();
    leave(&settings, &stop, &open).await;
    Ok(())
}

/// Serves on while callers hold old address answers, then ends connections and exchanges.
async fn leave(settings: &GatewaySettings, stop: &StopSignal, open: &Cell<usize>) {
    Timer::after(settings.stop_timeout().saturating_sub(Duration::from_millis(LAST_MS))).await;
    stop.stop();
    let last = Instant::now() + Duration::from_millis(LAST_MS - MARGIN_MS);
    while open.get() > 0 && Instant::now() < last {
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Opens the four listeners; the count of callers' connections.
fn listen<A: Adapter>(
    settings: &GatewaySettings,
    gate: &Rc<Dispatcher<A>>,
    stop: &StopSignal,
    limits: &Rc<Cell<ServerLimits>>,
) -> Result<Rc<Cell<usize>>, ProcessError> {
    let executor = gate.executor.clone();
    let bind = |address: SocketAddr| {
        Listener::bind(address, limits.clone()).context(ListenSnafu { address })
    };
    let callers = bind(settings.caller_listen)?;
    let (ready, lookup) = (bind(settings.ready_listen)?, bind(settings.lookup_listen)?);
    let metrics = bind(settings.metrics_listen)?;
    let open = callers.open_connections();
    let own = gate.clone();
    let serve = callers
        .serve(executor.clone(), stop.clone(), move |request| answer_caller(own.clone(), request));
    executor.spawn(serve).detach();
    let own = gate.clone();
    let serve = ready
        .serve(executor.clone(), stop.clone(), move |request| answer_ready(own.clone(), request));
    executor.spawn(serve).detach();
    let (own, ttl_ms) = (gate.clone(), settings.address_ttl_ms);
    let serve = lookup.serve(executor.clone(), stop.clone(), move |request| {
        answer_lookup(own.clone(), ttl_ms, request)
    });
    executor.spawn(serve).detach();
    let own = gate.clone();
    let serve = metrics
        .serve(executor.clone(), stop.clone(), move |request| answer_metrics(own.clone(), request));
    executor.spawn(serve).detach();
    Ok(open)
}

async fn pass_news(news: Receiver<TrafficReport>, events: Sender<ControlEvent>) {
    while let Ok(news) = news.recv().await {
        events.send(ControlEvent::Traffic(news)).await.unwrap_or_default();
    }
}

/// Gives new connections the limits of the configuration in force.
async fn keep_limits<A: Adapter>(gate: Rc<Dispatcher<A>>, limits: Rc<Cell<ServerLimits>>) {
    loop {
        Timer::after(Duration::from_millis(500)).await;
        let state = gate.state.borrow();
        if let Some(routes) = &state.routes {
            let wanted = routes.config().limits;
            limits.set(ServerLimits {
                header_bytes_max: wanted.header_bytes_max,
                idle_timeout: Duration::from_millis(wanted.idle_timeout_ms),
            });
        }
    }
}

/// Checks the settings anew; what can only change with a new process is said.
fn reload(file: &str, in_force: &GatewaySettings, log: &Logger) {
    match GatewaySettings::load(file) {
        Ok(settings) if settings == *in_force => {
            info!(log, "settings reloaded"; "changed" => false);
        }
        Ok(_) => info!(log, "settings reloaded"; "changed" => true, "takes" => "a new start"),
        Err(error) => warn!(log, "settings not reloaded"; "error" => error.to_string()),
    }
}
