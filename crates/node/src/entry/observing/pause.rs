use celeryhaven_types::TimeMs;

/// Maximum time to wait for current inputs after a process pause.
const PAUSE_HOLD_MS: u64 = 500;

/// Detects process pauses, and holds requests until the inputs are current.
///
/// After a pause the VM list and the configuration in memory are outdated, and a target that left
/// meanwhile would receive requests. No target is eligible until both were read again, or until the
/// hold expires because the platform does not answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseGuard {
    last_event_at: Option<TimeMs>,
    vm_reads_pending: u32,
    hold: Option<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: TimeMs,
    vm_replies_awaited: u32,
    awaits_config: bool,
}

impl PauseGuard {
    /// Records an event; returns whether the process has just resumed from a pause.
    ///
    /// A node has a timer due at least once a second, so a longer gap means that it was paused.
    pub(crate) fn record_event(&mut self, now: TimeMs, pause_ms: u64) -> bool {
        let before = self.last_event_at.replace(now);
        let has_resumed = before.is_some_and(|before| now.since(before) > pause_ms);
        if has_resumed {
            // A reply to a read sent before the pause may still arrive, and is outdated.
            let vm_replies_awaited = self.vm_reads_pending + 1;
            let until = now.after(PAUSE_HOLD_MS);
            self.hold = Some(Hold { until, vm_replies_awaited, awaits_config: true });
        }
        has_resumed
    }

    /// Records a request for the VM list.
    pub(crate) fn vm_list_requested(&mut self) {
        self.vm_reads_pending += 1;
    }

    /// Records a reply with the VM list; returns whether this ended the hold.
    pub(crate) fn vm_list_read(&mut self) -> bool {
        self.vm_reads_pending = 0;
        if let Some(hold) = &mut self.hold {
            hold.vm_replies_awaited = hold.vm_replies_awaited.saturating_sub(1);
        }
        self.try_release()
    }

    /// Records a read of the configuration; returns whether this ended the hold.
    pub(crate) fn config_read(&mut self) -> bool {
        if let Some(hold) = &mut self.hold {
            hold.awaits_config = false;
        }
        self.try_release()
    }

    /// Ends an expired hold; returns whether there was one.
    pub(crate) fn expire(&mut self, now: TimeMs) -> bool {
        self.hold.take_if(|hold| hold.until <= now).is_some()
    }

    /// Whether requests are held.
    pub(crate) fn is_holding(&self) -> bool {
        self.hold.is_some()
    }

    /// Returns when the hold expires.
    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        self.hold.map(|hold| hold.until)
    }

    fn try_release(&mut self) -> bool {
        let is_done = |hold: &mut Hold| hold.vm_replies_awaited == 0 && !hold.awaits_config;
        self.hold.take_if(is_done).is_some()
    }
}
