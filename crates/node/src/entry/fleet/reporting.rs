use std::collections::BTreeMap;

use celeryhaven_membership::MemberState;
use celeryhaven_policy::RequestPolicy;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{ConfigNumber, DataCentreStatus, TimeMs};

use crate::entry::{EntryAction, EntryNode};

/// Interval between writes of a data centre's status. Monitoring alerts on a status 30 s old, so
/// two lost writes must not trigger it.
const STATUS_INTERVAL_MS: u64 = 5_000;
/// Number of configuration versions whose number is remembered.
const CONFIG_NUMBERS_RETAINED: usize = 64;

/// The next call to the Object API.
#[derive(Clone, Copy, Debug, Default)]
enum NextCall {
    /// Reads the object and its version.
    #[default]
    Read,
    /// Creates the object.
    Create,
    /// Replaces the object at this version.
    Replace(ObjectVersion),
}

/// Writes `status/<data centre>` on the node that reports for its data centre.
///
/// Two nodes may both report while their membership views differ. A write conflict then leads to
/// another read and a later write; the object is correct either way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reporter {
    is_reporting: bool,
    due_at: TimeMs,
    next: NextCall,
    call: Option<StoreCallId>,
    numbers: BTreeMap<ObjectVersion, ConfigNumber>,
}

impl Reporter {
    pub(crate) fn begin(&mut self, now: TimeMs) {
        self.due_at = now.after(STATUS_INTERVAL_MS);
    }

    pub(crate) fn set_reporting(&mut self, is_reporting: bool) {
        self.is_reporting = is_reporting;
    }

    /// Records the number of a configuration version.
    pub(crate) fn in_force(&mut self, version: ObjectVersion, number: ConfigNumber) {
        self.numbers.insert(version, number);
        while self.numbers.len() > CONFIG_NUMBERS_RETAINED {
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

    /// Processes a reply. After a write or an error the next call waits for the interval.
    pub(crate) fn reply(&mut self, now: TimeMs, reply: &StoreReply) {
        self.call = None;
        self.next = match reply {
            StoreReply::Found(object) => NextCall::Replace(object.version),
            StoreReply::Missing => NextCall::Create,
            StoreReply::Written { version } => NextCall::Replace(*version),
            _ => NextCall::Read,
        };
        if !matches!(reply, StoreReply::Found(_) | StoreReply::Missing) {
            self.due_at = now.after(STATUS_INTERVAL_MS);
        }
    }

    fn request(&mut self, call: StoreCallId, key: ObjectKey, value: String) -> StoreRequest {
        self.call = Some(call);
        match self.next {
            NextCall::Read => StoreRequest::Get { key },
            NextCall::Create => StoreRequest::Create { key, value: value.into() },
            NextCall::Replace(version) => {
                StoreRequest::Update { key, version, value: value.into() }
            }
        }
    }

    /// Returns the number of a version, or of the newest recorded version before it.
    fn number(&self, version: ObjectVersion) -> ConfigNumber {
        let known = self.numbers.range(..=version).next_back();
        known.map(|(_, number)| *number).unwrap_or_default()
    }
}

/// Status reports of a data centre.
impl<P: RequestPolicy> EntryNode<P> {
    /// Sends the next status call if it is due.
    pub(crate) fn report(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        if self.fleet.reporter.next_wake() > now {
            return;
        }
        let status = self.data_centre_status(now);
        let key = ObjectKey::new(format!("status/{}", status.data_centre));
        // Serialization of names and numbers cannot fail.
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
