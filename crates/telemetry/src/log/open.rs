use std::io::Write;

use celeryhaven_settings::LogLevel;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_json::Json;

/// Capacity of the queue to the log writer, in lines.
///
/// When a slow log reader fills the queue, lines are dropped and counted instead of delaying
/// requests.
const QUEUE_LINES_MAX: usize = 4_096;

/// Flushes the queued log lines when it is dropped.
#[must_use = "queued lines are lost when the guard is dropped early"]
pub struct LogGuard(#[allow(dead_code, reason = "held for its drop")] AsyncGuard);

/// Opens the log of a process, which a separate thread writes.
///
/// ```
/// use celeryhaven_settings::LogLevel;
/// let (log, guard) = celeryhaven_telemetry::open_log(std::io::sink(), LogLevel::Info, "entry", "entry-1");
/// slog::info!(log, "started");
/// drop(guard);
/// ```
pub fn open_log<W: Write + Send + 'static>(
    out: W,
    level: LogLevel,
    process: &'static str,
    node: &str,
) -> (Logger, LogGuard) {
    let json = Json::new(out).set_newlines(true).set_flush(true).add_default_keys().build();
    let (queue, guard) = Async::new(json.ignore_res())
        .chan_size(QUEUE_LINES_MAX)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(queue, slog_level(level)).ignore_res();
    let log = Logger::root(drain, o!("process" => process, "node" => node.to_owned()));
    (log, LogGuard(guard))
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
