use std::collections::BTreeMap;

use celeryhaven_membership::MemberState;
use celeryhaven_policy::RequestPolicy;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{ConfigNumber, DataCentreStatus, TimeMs};

use crate::entry::{EntryAction, EntryNode};

/// How often a data centre's status is written. Operators are warned of one that is 30 s old; two
/// lost writes must not warn them.
const REPORT_MS: u64 = 5_000;
/// Configurations of which the number is remembered: more than are accepted while one spreads.
const NUMBERS_KEPT: usize = 64;

/// What to ask the Object API next.
#[derive(Clone, Copy, Debug, Default)]
enum Next {
    /// Whether the object exists, and at which version.
    #[default]
    Look,
    /// Write it for the first time.
    Create,
    /// Replace it.
    Replace(ObjectVersion),
}

/// Writes `status/<data centre>` for the node that reports for its data centre.
///
/// Two nodes may take themselves for it while their views of membership differ. Then each finds
/// the other's version in its way, looks again, and writes later; the object is right either way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reporter {
    is_reporting: bool,
    due_at: TimeMs,
    next: Next,
    call: Option<StoreCallId>,
    numbers: BTreeMap<ObjectVersion, ConfigNumber>,
}

impl Reporter {
    pub(crate) fn begin(&mut self, now: TimeMs) {
        self.due_at = now.after(REPORT_MS);
    }

    pub(crate) fn set_reporting(&mut self, is_reporting: bool) {
        self.is_reporting = is_reporting;
    }

    /// Notes which number a version of the configuration has.
    pub(crate) fn in_force(&mut self, version: ObjectVersion, number: ConfigNumber) {
        self.numbers.insert(version, number);
        while self.numbers.len() > NUMBERS_KEPT {
            self.numbers.pop_first();
        }
    }

    pub(crate) fn next_wake(&self) -> TimeMs {
        let is_waiting = self.is_reporting && self.call.is_none();
        if is_waiting { self.due_at } else { TimeMs::new(u64::MAX) }
    }

    pub(crate) fn awaits(&self, call: StoreCallId) -> bool {
        self.call == Some(call)
    }

    /// Takes the answer; a write waits for its next turn, whatever became of it.
    pub(crate) fn reply(&mut self, now: TimeMs, reply: &StoreReply) {
        self.call = None;
        self.next = match reply {
            StoreReply::Found(object) => Next::Replace(object.version),
            StoreReply::Missing => Next::Create,
            StoreReply::Written { version } => Next::Replace(*version),
            _ => Next::Look,
        };
        if !matches!(reply, StoreReply::Found(_) | StoreReply::Missing) {
            self.due_at = now.after(REPORT_MS);
        }
    }

    fn request(&mut self, call: StoreCallId, key: ObjectKey, value: String) -> StoreRequest {
        self.call = Some(call);
        match self.next {
            Next::Look => StoreRequest::Get { key },
            Next::Create => StoreRequest::Create { key, value: value.into() },
            Next::Replace(version) => StoreRequest::Update { key, version, value: value.into() },
        }
    }

    /// The number of a version, or of the newest one known before it.
    fn number(&self, version: ObjectVersion) -> ConfigNumber {
        let known = self.numbers.range(..=version).next_back();
        known.map(|(_, number)| *number).unwrap_or_default()
    }
}

/// Reports of a data centre.
impl<P: RequestPolicy> EntryNode<P> {
    /// Writes what is due.
    pub(crate) fn report(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.fleet.reporter.next_wake() > now {
            return;
        }
        let status = self.data_centre_status(now);
        let key = ObjectKey::new(format!("status/{}", status.data_centre));
        // A value of plain names and numbers always has a JSON form.
        let value = serde_json::to_string(&status).unwrap_or_default();
        let call = self.next_call();
        let request = self.fleet.reporter.request(call, key, value);
        out.push(EntryAction::Store { call, request });
    }

    fn data_centre_status(&self, now: TimeMs) -> DataCentreStatus {
        let membership = &self.fleet.membership;
        let here = &self.settings.data_centre;
        let alive = membership.live().filter(|member| {
            let answers = membership.find(member.node()).map(|(_, state)| state);
            member.data_centre == *here && answers == Some(MemberState::Alive)
        });
        DataCentreStatus {
            data_centre: here.clone(),
            node: self.settings.incarnation.node.clone(),
            config_number: self
                .fleet
                .reporter
                .number(self.fleet.spread.lowest_data_centre_version()),
            entries_alive: u32::try_from(alive.count()).unwrap_or(u32::MAX),
            at_unix_ms: self.settings.unix_at_clock_zero_ms.saturating_add(now.get()),
        }
    }
}
