use celeryhaven_policy::{PolicyEvent, TargetKey, TargetLoad, TargetProfile};
use celeryhaven_types::{AdapterName, Verdict};
use rand::Rng;

use crate::engine::{CacheChange, Sequence};
use crate::world::event::{Event, Heard};
use crate::world::state::{Reach, World, class_of};

impl World<'_> {
    pub(crate) fn deliver(&mut self, target: u32, sequence: Sequence) {
        let key = sequence.key;
        let back_us = self.now_us + self.distance_us(target);
        let node = &mut self.targets[target as usize];
        let taken = match node.reach {
            Reach::Up | Reach::Draining => node.engine.accept(self.now_us, sequence),
            Reach::Dead => false,
            Reach::Dark => {
                node.dark.push((key, false));
                return;
            }
        };
        if taken {
            let (running, waiting) = node.engine.load();
            let fill = f64::from(running + waiting) / node.engine.slots as f64;
            self.collected.overfull_max = self.collected.overfull_max.max(fill);
            self.kick(target);
        } else {
            let heard = Heard::Broken { verdict: Verdict::NotRun };
            self.agenda.add(back_us, Event::Attempt { key, heard });
        }
    }

    pub(crate) fn kick(&mut self, target: u32) {
        let node = &mut self.targets[target as usize];
        if node.hung {
            return;
        }
        if let Some(step_us) = node.engine.begin_step(self.now_us) {
            let epoch = node.epoch;
            self.agenda.add(self.now_us + step_us, Event::Step { target, epoch });
        } else if node.engine.load().0 == 0
            && let Some(ready_us) = node.engine.ready_at_us().filter(|&at| at > self.now_us)
        {
            self.agenda.add(ready_us, Event::Kick { target });
        }
    }

    pub(crate) fn step(&mut self, target: u32, epoch: u32) {
        let node = &mut self.targets[target as usize];
        if node.epoch != epoch {
            return;
        }
        if node.hung {
            // It goes on where it was when the pause ends.
            self.agenda.add(self.now_us + 10_000, Event::Step { target, epoch });
            return;
        }
        let end = node.engine.end_step(self.now_us);
        let back_us = self.now_us + self.distance_us(target);
        for progress in end.progress {
            let key = progress.key;
            if let Some(gap_us) = progress.gap_us {
                self.collected.between_tokens.saturating_record(gap_us);
            }
            if progress.token == 1 {
                self.agenda.add(back_us, Event::Attempt { key, heard: Heard::First });
            }
            if progress.last {
                self.agenda.add(back_us, Event::Attempt { key, heard: Heard::Finished });
            }
        }
        self.send_cache_event(target, end.cache);
        self.kick(target);
    }

    pub(crate) fn report(&mut self, target: u32) {
        let lags = self.scenario.lags;
        self.agenda.add(self.now_us + lags.report_period_ms * 1_000, Event::Report { target });
        let lost = self.rng.random_range(0..1_000) < lags.report_gap_permille;
        let node = &self.targets[target as usize];
        if lost || node.hung || matches!(node.reach, Reach::Dead | Reach::Dark) {
            return;
        }
        let (running, waiting) = node.engine.load();
        let load = TargetLoad {
            age_ms: lags.report_lag_ms,
            running,
            waiting,
            prefill_tokens_queued: node.engine.prefill_queued(),
            kv_used_permille: running * 1_000 / node.engine.slots as u32,
            tokens_generated: node.engine.tokens_generated,
            adapters_loaded: node
                .engine
                .adapters()
                .map(|number| AdapterName::new(format!("adapter-{number}")))
                .collect(),
        };
        let at_us = self.now_us + lags.report_lag_ms * 1_000;
        self.agenda.add(at_us, Event::Reported { target, load: Box::new(load) });
    }

    pub(crate) fn reported(&mut self, target: u32, load: &TargetLoad) {
        let target = TargetKey::new(target);
        self.tell_all(&PolicyEvent::Reported { target, load: load.clone() });
    }

    pub(crate) fn cache_changed(&mut self, target: u32, change: &CacheChange) {
        let target = TargetKey::new(target);
        let CacheChange { added, removed } = change;
        self.tell_all(&PolicyEvent::CacheChanged { target, added, removed });
    }

    pub(crate) fn known(&mut self, target: u32, up: bool) {
        let key = TargetKey::new(target);
        let group = self.group(target);
        if up {
            let profile = TargetProfile {
                serves: class_of(group),
                slots: group.slots,
                distance_us: group.distance_us,
                identity: u64::from(target),
            };
            self.tell_all(&PolicyEvent::TargetUp { target: key, profile });
            return;
        }
        self.tell_all(&PolicyEvent::TargetDown { target: key });
        for (key, reached) in std::mem::take(&mut self.targets[target as usize].dark) {
            let verdict = if reached { Verdict::MayHaveRun } else { Verdict::NotRun };
            let heard = Heard::Broken { verdict };
            self.agenda.add(self.now_us, Event::Attempt { key, heard });
        }
    }

    fn send_cache_event(&mut self, target: u32, change: CacheChange) {
        let lags = self.scenario.lags;
        let empty = change.added.is_empty() && change.removed.is_empty();
        if empty || self.rng.random_range(0..1_000) < lags.cache_gap_permille {
            return;
        }
        let at_us = self.now_us + lags.cache_lag_ms * 1_000;
        self.agenda.add(at_us, Event::CacheChanged { target, change: Box::new(change) });
    }
}
