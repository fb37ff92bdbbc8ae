use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, unbounded};
use celeryhaven_graceful_stop::GracefulStop;
use celeryhaven_http::{
    ConnectionCounts, ConnectionPool, Listener, PoolSettings, ServerLimits, StopSignal,
};
use celeryhaven_settings::GatewaySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::GatewayMetrics;
use slog::{Logger, info, warn};
use smol::{LocalExecutor, Timer};
use snafu::ResultExt;

use crate::adapter::Adapter;
use crate::bodies::BodyStore;
use crate::control::{Control, ControlEvent, ControlParts, TargetClient};
use crate::http::{answer_caller, answer_lookup, answer_metrics, answer_ready};
use crate::links::{LinkCheck, SharedLinks};
use crate::process::ProcessError;
use crate::process::error::{ListenSnafu, RandomSnafu, ThreadSnafu};
use crate::process::signals::Signals;
use crate::traffic::{
    DispatchState, Dispatcher, SharedConfirmation, SharedNotices, TrafficReport, TrafficUpdate,
};

/// Limits for callers until a configuration has been read.
const INITIAL_LIMITS: ServerLimits =
    ServerLimits { header_bytes_max: 16 * 1024, idle_timeout: Duration::from_secs(15) };

/// Connection pool settings for targets.
///
/// The connect timeout fits connections within a region. The user timeout also ends keep-alive
/// probes, whatever their count, so it leaves them all the time that they take: a target that is
/// silent for a second or two may go on.
const TARGET_POOL_SETTINGS: PoolSettings = PoolSettings {
    connect_timeout: Duration::from_millis(300),
    tcp_user_timeout: Duration::from_millis(3_000),
    idle_timeout: Duration::from_secs(10),
    idle_max: 8,
};

/// Time before the forced end of the process at which it closes its listeners and connections.
const CLOSE_BEFORE_KILL_MS: u64 = 1_500;

/// Time before the forced end of the process at which it exits even with open connections.
const EXIT_BEFORE_KILL_MS: u64 = 300;

/// Time without any connection of a caller after which a stopping process exits early.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Part of the fleet's retry budget that nodes use, because they cannot see each other's retries.
const RETRY_SHARE: f64 = 0.7;

/// Dependencies of both threads.
struct Parts<A> {
    settings: GatewaySettings,
    adapter: A,
    metrics: GatewayMetrics,
    log: Logger,
    events: Sender<ControlEvent>,
    notices: SharedNotices,
    confirmation: SharedConfirmation,
    links: SharedLinks,
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// Fails if a listener, a thread, the signal handlers or random numbers are not available.
pub fn run<A: Adapter>(
    settings: GatewaySettings,
    settings_file: &str,
    adapter: A,
    log: Logger,
) -> Result<(), ProcessError> {
    let signals = Signals::install()?;
    let seed = getrandom::u64().context(RandomSnafu)?;
    let (events, event_receiver) = unbounded();
    let (updates, update_receiver) = unbounded();
    let (notices, links) = (SharedNotices::default(), SharedLinks::new(seed));
    let metrics = GatewayMetrics::new();
    let confirmation = SharedConfirmation::default();
    let parts = Parts { settings, adapter, metrics, log, events, notices, confirmation, links };
    let token = format!("{:016x}", getrandom::u64().context(RandomSnafu)?);
    start_control(&parts, token.clone(), event_receiver, updates)?;
    let executor = Rc::new(LocalExecutor::new());
    let log = parts.log.clone();
    let traffic = run_traffic(
        parts,
        settings_file,
        (seed, token),
        update_receiver,
        executor.clone(),
        signals,
    );
    let result = smol::block_on(executor.run(traffic));
    info!(log, "stopped");
    result
}

fn start_control<A: Adapter>(
    parts: &Parts<A>,
    token: String,
    event_receiver: Receiver<ControlEvent>,
    traffic: Sender<TrafficUpdate>,
) -> Result<(), ProcessError> {
    let Parts { settings, adapter, metrics, log, events, notices, confirmation, links } = parts;
    let (notices, links) = (notices.clone(), links.clone());
    let confirmation = confirmation.clone();
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
        let connections = ConnectionPool::new(executor.clone(), TARGET_POOL_SETTINGS);
        let link_check = LinkCheck::new(
            links,
            executor.clone(),
            connections.clone(),
            events.clone(),
            metrics.clone(),
            log.clone(),
        );
        let target_client =
            TargetClient { adapter: adapter.clone(), connections, notices, link_check };
        let parts = ControlParts {
            adapter,
            settings,
            client,
            target_client,
            boot,
            token,
            events: (events, event_receiver),
            traffic,
            confirmation,
            metrics,
            log,
        };
        let control = Control::new(parts, executor.clone());
        control.serve_peers(peers);
        smol::block_on(executor.run(control.run()));
    };
    thread::Builder::new().name("control".into()).spawn(control).context(ThreadSnafu)?;
    Ok(())
}

async fn run_traffic<A: Adapter>(
    parts: Parts<A>,
    settings_file: &str,
    (seed, token): (u64, String),
    updates: Receiver<TrafficUpdate>,
    executor: Rc<LocalExecutor<'static>>,
    signals: Signals,
) -> Result<(), ProcessError> {
    let Parts { settings, adapter, metrics, log, events, notices, confirmation, links } = parts;
    let (reports, report_receiver) = unbounded();
    let retry_ratio = settings.retry_ratio * RETRY_SHARE;
    let retry_extra = settings.retry_extra * RETRY_SHARE;
    let state = DispatchState::new(seed, retry_ratio, retry_extra)
        .with_overload_control(settings.overload_control);
    let connections = ConnectionPool::new(executor.clone(), TARGET_POOL_SETTINGS);
    let link_check =
        LinkCheck::new(links, executor.clone(), connections, events.clone(), metrics, log.clone());
    let bodies = BodyStore::new(settings.memory_bytes());
    let dispatcher = Dispatcher::new(adapter, link_check, state, bodies, reports);
    let dispatcher = dispatcher
        .with_notices(notices)
        .with_confirmation(confirmation, settings.config_apply_ms)
        .with_token(token);
    let dispatcher = Rc::new(dispatcher);
    let stop = StopSignal::default();
    let limits = Rc::new(Cell::new(INITIAL_LIMITS));
    let connections = listen(&settings, &dispatcher, &stop, &limits)?;
    executor.spawn(dispatcher.clone().apply_updates(updates)).detach();
    executor.spawn(dispatcher.clone().run_timers()).detach();
    executor.spawn(forward_reports(report_receiver, events.clone())).detach();
    executor.spawn(update_limits(dispatcher.clone(), limits)).detach();
    let asked_at = signals.wait_for_stop(|| reload(settings_file, &settings, &log)).await;
    let noticed_ms = dispatcher.now().since(asked_at);
    info!(log, "leaving"; "open_connections" => connections.open(), "noticed_after_ms_max" => noticed_ms);
    let stop_ms = settings.stop_timeout().as_millis() as u64;
    let exits_at = asked_at.after(stop_ms.saturating_sub(EXIT_BEFORE_KILL_MS));
    dispatcher.stop(GracefulStop::new(asked_at, exits_at));
    events.send(ControlEvent::Leave).await.unwrap_or_default();
    shut_down(&settings, &stop, &connections, noticed_ms).await;
    info!(log, "exiting"; "open_connections" => connections.open());
    Ok(())
}

/// Keeps serving while callers use cached address answers, then closes all connections.
///
/// The signal may have been sent up to `noticed_ms` ago. Idle connections are closed as if it had, and
/// running answers go on as if it had not: nothing is cut before it must be.
async fn shut_down(
    settings: &GatewaySettings,
    stop: &StopSignal,
    connections: &ConnectionCounts,
    noticed_ms: u64,
) {
    let serve_time =
        settings.stop_timeout().saturating_sub(Duration::from_millis(CLOSE_BEFORE_KILL_MS));
    let noticed_time = Duration::from_millis(noticed_ms).min(serve_time);
    Timer::after(serve_time - noticed_time).await;
    stop.stop();
    let deadline = Instant::now()
        + noticed_time
        + Duration::from_millis(CLOSE_BEFORE_KILL_MS - EXIT_BEFORE_KILL_MS);
    let (mut used_at, mut accepted) = (Instant::now(), connections.accepted());
    while used_at.elapsed() < QUIET_TIME && Instant::now() < deadline {
        if connections.open() > 0 || connections.accepted() > accepted {
            (used_at, accepted) = (Instant::now(), connections.accepted());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Opens the four listeners; returns the counts of caller connections.
fn listen<A: Adapter>(
    settings: &GatewaySettings,
    dispatcher: &Rc<Dispatcher<A>>,
    stop: &StopSignal,
    limits: &Rc<Cell<ServerLimits>>,
) -> Result<Rc<ConnectionCounts>, ProcessError> {
    let executor = dispatcher.executor.clone();
    let bind = |address: SocketAddr| {
        Listener::bind(address, limits.clone()).context(ListenSnafu { address })
    };
    let callers = bind(settings.caller_listen)?.with_late_connections();
    let (ready, lookup) = (bind(settings.ready_listen)?, bind(settings.lookup_listen)?);
    let metrics = bind(settings.metrics_listen)?;
    let connections = callers.connection_counts();
    let own = dispatcher.clone();
    let serve = callers
        .serve(executor.clone(), stop.clone(), move |request| answer_caller(own.clone(), request));
    executor.spawn(serve).detach();
    let own = dispatcher.clone();
    let serve = ready
        .serve(executor.clone(), stop.clone(), move |request| answer_ready(own.clone(), request));
    executor.spawn(serve).detach();
    let (own, ttl_ms) = (dispatcher.clone(), settings.address_ttl_ms);
    let serve = lookup.serve(executor.clone(), stop.clone(), move |request| {
        answer_lookup(own.clone(), ttl_ms, request)
    });
    executor.spawn(serve).detach();
    let own = dispatcher.clone();
    let serve = metrics
        .serve(executor.clone(), stop.clone(), move |request| answer_metrics(own.clone(), request));
    executor.spawn(serve).detach();
    Ok(connections)
}

async fn forward_reports(reports: Receiver<TrafficReport>, events: Sender<ControlEvent>) {
    while let Ok(report) = reports.recv().await {
        events.send(ControlEvent::Traffic(report)).await.unwrap_or_default();
    }
}

/// Applies the limits of the configuration in force to new connections.
async fn update_limits<A: Adapter>(dispatcher: Rc<Dispatcher<A>>, limits: Rc<Cell<ServerLimits>>) {
    loop {
        Timer::after(Duration::from_millis(500)).await;
        let state = dispatcher.state.borrow();
        if let Some(routes) = &state.routes {
            let wanted = routes.config().limits;
            limits.set(ServerLimits {
                header_bytes_max: wanted.header_bytes_max,
                idle_timeout: Duration::from_millis(wanted.idle_timeout_ms),
            });
        }
    }
}

/// Validates the settings file; changed settings take effect only after a restart.
fn reload(file: &str, in_force: &GatewaySettings, log: &Logger) {
    match GatewaySettings::load(file) {
        Ok(settings) if settings == *in_force => {
            info!(log, "settings reloaded"; "changed" => false);
        }
        Ok(_) => info!(log, "settings reloaded"; "changed" => true, "takes" => "a new start"),
        Err(error) => warn!(log, "settings not reloaded"; "error" => error.to_string()),
    }
}
