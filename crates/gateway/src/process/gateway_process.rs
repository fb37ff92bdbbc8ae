use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender, unbounded};
use celeryhaven_http::{ChannelPool, Listener, PoolSettings, ServerLimits, StopSignal};
use celeryhaven_settings::GatewaySettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::GatewayMetrics;
use slog::{Logger, info, warn};
use smol::{LocalExecutor, Timer};
use snafu::ResultExt;

use crate::adapter::Adapter;
use crate::control::{Control, ControlEvent, ControlParts};
use crate::http::{answer_caller, answer_lookup, answer_metrics, answer_ready};
use crate::process::ProcessError;
use crate::process::error::{ListenSnafu, RandomSnafu, ThreadSnafu};
use crate::process::signals::Signals;
use crate::traffic::{Gate, TrafficNews, TrafficUpdate, gate_state};

/// What callers may take until the configuration says it.
const FIRST_LIMITS: ServerLimits =
    ServerLimits { header_bytes_max: 16 * 1024, idle: Duration::from_secs(15) };

/// Channels to targets.
///
/// A connection stands within milliseconds inside a region; a target that leaves bytes
/// unacknowledged for longer than a stalled replica takes to show itself is cut off.
const TARGET_CHANNELS: PoolSettings = PoolSettings {
    connect_timeout: Duration::from_millis(300),
    silence: Duration::from_millis(1_500),
    idle: Duration::from_secs(10),
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
    let boot = celeryhaven_clock::unix_ms();
    let seed = getrandom::u64().context(RandomSnafu)?;
    let metrics = GatewayMetrics::new();
    let (events, heard) = unbounded();
    let (updates, followed) = unbounded();
    info!(log, "started"; "callers" => settings.caller_listen.to_string(), "boot" => boot);
    start_control(
        &settings,
        adapter.clone(),
        boot,
        events.clone(),
        heard,
        updates,
        &metrics,
        &log,
    )?;
    let executor = Rc::new(LocalExecutor::new());
    let run = traffic(
        settings,
        settings_file.to_owned(),
        adapter,
        seed,
        events,
        followed,
        metrics,
        log.clone(),
        executor.clone(),
        signals,
    );
    let ended = smol::block_on(executor.run(run));
    info!(log, "stopped");
    ended
}

#[expect(clippy::too_many_arguments, reason = "the parts of one thread, named once")]
fn start_control<A: Adapter>(
    settings: &GatewaySettings,
    adapter: A,
    boot: u64,
    events: Sender<ControlEvent>,
    heard: Receiver<ControlEvent>,
    traffic: Sender<TrafficUpdate>,
    metrics: &GatewayMetrics,
    log: &Logger,
) -> Result<(), ProcessError> {
    let (settings, metrics, log) = (settings.clone(), metrics.clone(), log.clone());
    let control = move || {
        let executor = Rc::new(LocalExecutor::new());
        let timeout = Duration::from_millis(settings.store_timeout_ms);
        let client = StoreClient::with_wire(settings.store, timeout, adapter.clone());
        let channels = ChannelPool::new(executor.clone(), TARGET_CHANNELS);
        let targets = crate::control::TargetCalls { adapter: adapter.clone(), channels };
        let parts = ControlParts {
            adapter,
            settings,
            client,
            targets,
            boot,
            events: (events, heard),
            traffic,
            metrics,
            log,
        };
        let control = Control::new(parts, executor.clone());
        smol::block_on(executor.run(control.run()));
    };
    thread::Builder::new().name("control".into()).spawn(control).context(ThreadSnafu)?;
    Ok(())
}

#[expect(clippy::too_many_arguments, reason = "the parts of one thread, named once")]
async fn traffic<A: Adapter>(
    settings: GatewaySettings,
    settings_file: String,
    adapter: A,
    seed: u64,
    events: Sender<ControlEvent>,
    updates: Receiver<TrafficUpdate>,
    metrics: GatewayMetrics,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
    signals: Signals,
) -> Result<(), ProcessError> {
    let (news, heard) = unbounded();
    let earned = f64::from(settings.retry_permille) / 1_000.0 * RETRY_PART;
    let extra = f64::from(settings.retry_extra) * RETRY_PART / RETRY_POOLS;
    let state = gate_state::GateState::new(seed, earned, extra);
    let channels = ChannelPool::new(executor.clone(), TARGET_CHANNELS);
    let gate = Gate::new(adapter, executor.clone(), channels, state, metrics, log.clone(), news);
    let stop = StopSignal::default();
    let limits = Rc::new(Cell::new(FIRST_LIMITS));
    let open = listen(&settings, &gate, &stop, &limits)?;
    executor.spawn(gate.clone().follow(updates)).detach();
    executor.spawn(gate.clone().tick()).detach();
    executor.spawn(pass_news(heard, events.clone())).detach();
    executor.spawn(keep_limits(gate.clone(), limits)).detach();
    signals.stopped(|| reload(&settings_file, &settings, &log)).await;
    info!(log, "leaving"; "open_connections" => open.get());
    gate.state.borrow_mut().leaving_since = Some(gate.now());
    events.send(ControlEvent::Leave).await.unwrap_or_default();
    Timer::after(Duration::from_millis(settings.stop_ms.saturating_sub(LAST_MS))).await;
    stop.stop();
    let last = std::time::Instant::now() + Duration::from_millis(LAST_MS - MARGIN_MS);
    while open.get() > 0 && std::time::Instant::now() < last {
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Opens the four listeners; the count of callers' connections.
fn listen<A: Adapter>(
    settings: &GatewaySettings,
    gate: &Rc<Gate<A>>,
    stop: &StopSignal,
    limits: &Rc<Cell<ServerLimits>>,
) -> Result<Rc<Cell<usize>>, ProcessError> {
    let executor = gate.executor.clone();
    let bind = |address: SocketAddr| {
        Listener::bind(address, limits.clone()).context(ListenSnafu { address })
    };
    let callers = bind(settings.caller_listen)?;
    let open = callers.open();
    let own = gate.clone();
    let serve = callers
        .serve(executor.clone(), stop.clone(), move |request| answer_caller(own.clone(), request));
    executor.spawn(serve).detach();
    let own = gate.clone();
    let serve =
        bind(settings.ready_listen)?.serve(executor.clone(), stop.clone(), move |request| {
            answer_ready(own.clone(), request)
        });
    executor.spawn(serve).detach();
    let (own, ttl_ms) = (gate.clone(), settings.address_ttl_ms);
    let serve =
        bind(settings.lookup_listen)?.serve(executor.clone(), stop.clone(), move |request| {
            answer_lookup(own.clone(), ttl_ms, request)
        });
    executor.spawn(serve).detach();
    let own = gate.clone();
    let serve =
        bind(settings.metrics_listen)?.serve(executor.clone(), stop.clone(), move |request| {
            answer_metrics(own.clone(), request)
        });
    executor.spawn(serve).detach();
    Ok(open)
}

async fn pass_news(news: Receiver<TrafficNews>, events: Sender<ControlEvent>) {
    while let Ok(news) = news.recv().await {
        events.send(ControlEvent::Traffic(news)).await.unwrap_or_default();
    }
}

/// Gives new connections the limits of the configuration in force.
async fn keep_limits<A: Adapter>(gate: Rc<Gate<A>>, limits: Rc<Cell<ServerLimits>>) {
    loop {
        Timer::after(Duration::from_millis(500)).await;
        let state = gate.state.borrow();
        if let Some(routes) = &state.routes {
            let wanted = routes.config().limits;
            limits.set(ServerLimits {
                header_bytes_max: wanted.header_bytes_max,
                idle: Duration::from_millis(wanted.idle_timeout_ms),
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
