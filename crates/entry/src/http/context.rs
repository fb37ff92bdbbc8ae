use std::sync::Arc;
use std::time::Duration;

use celeryhaven_settings::EntrySettings;
use celeryhaven_telemetry::EntryMetrics;
use celeryhaven_types::{Incarnation, RequestId};
use slog::Logger;

use crate::control::ControlHandle;
use crate::exchange::Registry;

/// State shared by all handlers.
#[derive(Clone)]
pub(crate) struct HttpContext {
    pub(crate) control: ControlHandle,
    pub(crate) registry: Arc<Registry>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) log: Logger,
    pub(crate) incarnation: Incarnation,
    pub(crate) limits: Limits,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) body_bytes: u64,
    pub(crate) head_bytes: usize,
    pub(crate) read: Duration,
    pub(crate) default_deadline_ms: u64,
}

impl Limits {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        Self {
            body_bytes: settings.body_limit_bytes,
            head_bytes: usize::try_from(settings.head_limit_bytes).unwrap_or(usize::MAX),
            read: Duration::from_millis(settings.read_timeout_ms),
            default_deadline_ms: settings.default_deadline_ms,
        }
    }
}

impl HttpContext {
    /// Returns a request ID that is unique across all nodes.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.registry.next_ticket();
        let Incarnation { node, boot } = &self.incarnation;
        RequestId::new(format!("{node}-{:x}-{:x}", boot.get(), number.get()))
    }
}
