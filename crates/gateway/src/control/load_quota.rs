use std::time::Duration;

use celeryhaven_forming::FormingEvent;
use celeryhaven_load_quota::{GrantedLoads, LoadLimit, QuotaCall, QuotaRecord, QuotaReply};
use celeryhaven_records::WriteOutcome;
use celeryhaven_store::StoreCodec;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};
use rand::Rng;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::coordination::engine_service;
use crate::control::counted_store::{CountedStore, StoreCallKind};
use crate::control::event::ControlEvent;
use crate::control::shared_records::{parse, write_record};

/// Start of the keys of the records of granted loads.
const LOADS_KEY: &str = "quotas/loads-";

/// Key of the object that exists once a caller has sent a request to any node.
const CALLERS_KEY: &str = "quotas/callers";

impl<A: Adapter> Control<A> {
    /// Whether a caller has sent a request to any node, as far as this one knows.
    pub(super) fn callers_served(&self) -> bool {
        self.load_quota.callers_served()
    }

    /// Tells the quota how many loads the planners need, and starts the calls that are due.
    pub(super) fn request_loads(&mut self, now: TimeMs) {
        for (domain, coordinator) in &self.coordinators.domains {
            self.load_quota.set_needed(domain, coordinator.planner.loads_needed());
        }
        self.call_load_quota(now);
    }

    /// Starts the calls for the records of granted loads that are due.
    pub(super) fn call_load_quota(&mut self, now: TimeMs) {
        if self.store_unavailable {
            return;
        }
        let Some(limit) = self.load_limit() else { return };
        let calls = self.load_quota.due(now, limit);
        if calls.is_empty() {
            self.log_held_back(now, limit);
        }
        for call in calls {
            let (store, events) = (self.store.clone(), self.parts.events.0.clone());
            let execute = async move {
                let reply = execute_call(&store, &call).await;
                let event = ControlEvent::LoadQuotaCalled(call, reply);
                events.send(event).await.unwrap_or_default();
            };
            self.executor.spawn(execute).detach();
        }
    }

    /// Applies the outcome of a call, and passes granted loads to the planners.
    pub(super) fn record_load_quota_call(
        &mut self,
        now: TimeMs,
        call: &QuotaCall,
        reply: QuotaReply,
    ) {
        let jitter = self.rng.random();
        for granted in self.load_quota.complete(now, call, reply, jitter) {
            self.pass_granted_loads(now, granted);
        }
        match self.load_quota.retry_at(now) {
            Some(retry_at) => self.call_load_quota_at(now, retry_at),
            None => self.call_load_quota(now),
        }
    }

    fn pass_granted_loads(&mut self, now: TimeMs, granted: GrantedLoads) {
        info!(self.parts.log, "loads granted"; "domain" => granted.domain.as_str(),
            "loads" => granted.loads, "grant" => granted.grant.as_str(),
            "counted" => self.load_quota.counted(now),
            "callers_served" => self.callers_served());
        self.parts.metrics.loads_granted.inc_by(u64::from(granted.loads));
        self.loads_held_back = 0;
        let domain = granted.domain.clone();
        self.handle_forming_event(now, &domain, FormingEvent::LoadsGranted { granted });
    }

    fn call_load_quota_at(&self, now: TimeMs, at: TimeMs) {
        let (events, pause) = (self.parts.events.0.clone(), Duration::from_millis(at.since(now)));
        let wake = async move {
            Timer::after(pause).await;
            events.send(ControlEvent::LoadQuotaDue).await.unwrap_or_default();
        };
        self.executor.spawn(wake).detach();
    }

    fn load_limit(&self) -> Option<LoadLimit> {
        let routes = self.routes.as_ref()?;
        let (_, profile) = engine_service(routes)?;
        let window_ms = self.parts.settings.load_window_ms();
        Some(LoadLimit::new(routes.config().number, profile.loads_per_s, window_ms))
    }

    /// Logs when loads begin to wait because too many have begun.
    fn log_held_back(&mut self, now: TimeMs, limit: LoadLimit) {
        let held_back = self.load_quota.held_back();
        if held_back > 0 && self.loads_held_back == 0 {
            info!(self.parts.log, "loads held back"; "loads" => held_back,
                "counted" => self.load_quota.counted(now), "loads_max" => limit.loads_max);
        }
        self.loads_held_back = held_back;
    }
}

async fn execute_call<W: StoreCodec>(store: &CountedStore<W>, call: &QuotaCall) -> QuotaReply {
    let callers_key = ObjectKey::new(CALLERS_KEY);
    let loads_key = |key| ObjectKey::new(format!("{LOADS_KEY}{key}"));
    match call {
        QuotaCall::ReadCallers => {
            let request = StoreRequest::Get { key: callers_key };
            QuotaReply::Callers(match store.call(StoreCallKind::Loads, &request).await {
                StoreReply::Found(_) => Some(true),
                StoreReply::Missing => Some(false),
                _ => None,
            })
        }
        QuotaCall::WriteCallers => {
            let request = StoreRequest::Create { key: callers_key, value: "{}".into() };
            QuotaReply::Callers(match store.call(StoreCallKind::Loads, &request).await {
                StoreReply::Written { .. } | StoreReply::Conflict => Some(true),
                _ => None,
            })
        }
        QuotaCall::Read(key) => QuotaReply::Record(read_loads(store, loads_key(*key)).await),
        QuotaCall::Write(key, write) => QuotaReply::Record(
            write_record(store, StoreCallKind::Loads, loads_key(*key), write).await,
        ),
    }
}

async fn read_loads<W: StoreCodec>(
    store: &CountedStore<W>,
    key: ObjectKey,
) -> WriteOutcome<QuotaRecord> {
    match store.call(StoreCallKind::Loads, &StoreRequest::Get { key }).await {
        // A record that cannot be read is replaced by an empty one, or nobody could load any more.
        StoreReply::Found(object) => {
            WriteOutcome::Found(object.version, parse(&object.value).unwrap_or_default())
        }
        StoreReply::Missing => WriteOutcome::Missing,
        _ => WriteOutcome::Failed,
    }
}
