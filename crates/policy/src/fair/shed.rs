use celeryhaven_types::{RefusalCode, TimeMs};

use crate::fair::admission::starts_in_time;
use crate::fair::overload::is_late;
use crate::fair::policy::Timer;
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::Decision;

/// Time between checks of a queue that is not empty.
///
/// Requests that can no longer be in time would otherwise be held until near their deadline.
const SHED_INTERVAL_MS: u64 = 100;

impl FairPolicy {
    /// Schedules a check of the queue of a class.
    pub(crate) fn schedule_shed(&mut self, now: TimeMs, class_key: ClassKey) {
        let class = self.class(class_key);
        if !class.shed_scheduled && !class.queue.is_empty() {
            class.shed_scheduled = true;
            self.timers.insert((now.after(SHED_INTERVAL_MS), Timer::Shed(class_key)));
        }
    }

    /// Refuses queued requests that can no longer be in time.
    ///
    /// If the last request of a flow would be late, the requests with the least worth per slot time
    /// are refused until it is in time again.
    pub(crate) fn shed(&mut self, now: TimeMs, class_key: ClassKey, out: &mut Vec<Decision>) {
        self.class(class_key).shed_scheduled = false;
        while let Some((ticket, entry)) = self.class(class_key).queue.pop_overdue(now) {
            self.resolve_overdue(now, ticket, &entry, out);
        }
        let flows: Vec<_> = self.class(class_key).queue.active_flows().collect();
        for (tier, flow) in flows {
            while let Some((ticket, entry)) = self.class(class_key).queue.last_entry(tier, flow) {
                let is_governed =
                    self.requests.get(&ticket).is_some_and(|request| request.is_governed);
                // A timely request waits until it can no longer begin in time, and is late then.
                if is_governed && !is_late(&entry) {
                    break;
                }
                let wait_ms = self.wait_ms(now, class_key, &entry);
                if starts_in_time(now, wait_ms, entry.latest_start) {
                    break;
                }
                let (ticket, entry) = self
                    .class(class_key)
                    .queue
                    .lowest_density(tier, flow)
                    .unwrap_or((ticket, entry));
                self.refuse_queued(now, ticket, &entry, RefusalCode::Overloaded, out);
            }
        }
        self.dispatch_queued(now, class_key, out);
        self.schedule_shed(now, class_key);
    }
}
