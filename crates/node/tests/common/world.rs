use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_checks::{Bounds, CallId, Checks, Observation, OperationId};
use celeryhaven_node::EntryEvent;
use celeryhaven_types::{
    Boot, Config, DataCentreName, DeploymentName, DomainName, DomainPlacement, Fence, Formation,
    Generation, ModelName, ModelVersion, Replica, ReplicaName, ReplicaPhase, VmEntry, VmName,
    VmPhase, VmRole,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::callers::{Call, Operation};
use super::driver::FakeProcess;
use super::entries::node_name;
use super::events::{Event, Process, Step};
use super::least_loaded::PolicyBehaviour;
use super::setup::{DATA_CENTRE, MODEL, TargetFaults, config, engine_address, entry_address};
use super::store::FakeStore;
use super::vms::FakeVm;

/// Delay of the VM list.
const LIST_LAG_MS: u64 = 1_000;

/// The simulated environment of the entry nodes, and its event queue.
pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub checks: Checks,
    pub target_faults: TargetFaults,
    /// Rate of lost Object API answers, in thousandths.
    pub store_answers_lost: u32,
    pub list_lag_ms: u64,
    /// Rate of observer answers delayed by up to a second, in thousandths.
    pub late_observations: u32,
    /// Rate of outdated lists, in thousandths.
    pub stale_lists: u32,
    pub(super) behaviour: PolicyBehaviour,
    pub refusals: BTreeMap<String, u64>,
    pub store: FakeStore,
    /// Polls sent to each target.
    pub polls: BTreeMap<VmName, u64>,
    /// Requests that could not connect to their target.
    pub connect_failures: u64,
    /// Messages sent between entries.
    pub peer_messages: u64,
    /// Times and destination VMs of sent requests.
    pub sends: Vec<(u64, VmName)>,
    pub(super) config: Config,
    pub(super) entries: Vec<Option<FakeProcess>>,
    pub(super) vms: BTreeMap<VmName, FakeVm>,
    pub(super) operations: BTreeMap<OperationId, Operation>,
    pub(super) calls: BTreeMap<CallId, Call>,
    pub(super) cut_entries: BTreeMap<(usize, usize), u64>,
    pub(super) cut_targets: BTreeMap<(usize, VmName), u64>,
    pub(super) last_boot: u64,
    placement: DomainPlacement,
    list_history: Vec<(u64, Vec<VmEntry>)>,
    queue: BTreeMap<(u64, u64), Event>,
    wakes: BTreeSet<(Process, u64)>,
    last_seq: u64,
}

impl World {
    /// Creates a world with this many entries, the replicas r1 (a, b) and r2 (c, d), and the plain
    /// targets p1 and p2.
    pub fn new(seed: u64, entries: usize, bounds: Bounds) -> Self {
        Self::with_behaviour(seed, entries, bounds, PolicyBehaviour::default())
    }

    /// Creates the same world with this policy behaviour at every entry.
    pub fn with_behaviour(
        seed: u64,
        entries: usize,
        bounds: Bounds,
        behaviour: PolicyBehaviour,
    ) -> Self {
        let plain = ["p1", "p2"].map(VmName::new);
        let plain: Vec<_> =
            plain.into_iter().enumerate().map(|(i, vm)| (vm, engine_address(10 + i))).collect();
        let config = config(&plain);
        let mut world = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            checks: Checks::new(bounds),
            target_faults: TargetFaults::default(),
            store_answers_lost: 0,
            list_lag_ms: LIST_LAG_MS,
            late_observations: 0,
            stale_lists: 0,
            behaviour,
            refusals: BTreeMap::new(),
            store: FakeStore::default(),
            polls: BTreeMap::new(),
            connect_failures: 0,
            peer_messages: 0,
            sends: Vec::new(),
            config,
            entries: (0..entries).map(|_| None).collect(),
            vms: BTreeMap::new(),
            operations: BTreeMap::new(),
            calls: BTreeMap::new(),
            cut_entries: BTreeMap::new(),
            cut_targets: BTreeMap::new(),
            last_boot: 0,
            placement: DomainPlacement {
                domain: DomainName::new("d1"),
                data_centre: DataCentreName::new(DATA_CENTRE),
                fence: Fence::new(1),
                write_id: 1,
                next_replica: 3,
                replicas: Vec::new(),
                releasing: Vec::new(),
            },
            list_history: Vec::new(),
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            last_seq: 0,
        };
        for (index, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
            world.add_vm(name, engine_address(index), VmRole::Engine);
        }
        for (vm, address) in plain {
            world.add_vm(vm.as_str(), address, VmRole::Plain);
        }
        world.add_replica("r1", ["a", "b"]);
        world.add_replica("r2", ["c", "d"]);
        world.write_config();
        world.record_vm_list();
        world.list_history[0].0 = 0;
        (0..entries).for_each(|entry| world.start_entry(entry));
        world
    }

    fn add_vm(&mut self, name: &str, address: std::net::SocketAddr, role: VmRole) {
        self.last_boot += 1;
        let vm = VmName::new(name);
        let listed = VmEntry {
            vm: vm.clone(),
            role,
            address,
            data_centre: DataCentreName::new(DATA_CENTRE),
            domain: None,
            accelerators: 1,
            phase: VmPhase::Live,
        };
        let fake = FakeVm {
            address,
            boot: Boot::new(self.last_boot),
            formation: None,
            alive: true,
            silent_until: 0,
            reports_late_ms: 0,
            listed,
        };
        self.vms.insert(vm, fake);
    }

    fn add_replica(&mut self, name: &str, vms: [&str; 2]) {
        let replica = Replica {
            name: ReplicaName::new(name),
            deployment: DeploymentName::new(MODEL),
            model: ModelName::new(MODEL),
            version: ModelVersion::new("v1"),
            generation: Generation::new(0),
            vms: vms.map(VmName::new).to_vec(),
            phase: ReplicaPhase::Serving,
        };
        self.placement.replicas.push(replica);
        self.reform_replica(name);
    }

    /// Re-forms a replica from its members, and writes its placement.
    pub(super) fn reform_replica(&mut self, name: &str) {
        let mut replicas = self.placement.replicas.iter_mut();
        let Some(replica) = replicas.find(|replica| replica.name.as_str() == name) else { return };
        replica.generation = replica.generation.next();
        let (generation, vms) = (replica.generation, replica.vms.clone());
        let boots = vms.iter().filter_map(|vm| Some(self.vms.get(vm)?.boot)).collect();
        let formation = Formation {
            replica: ReplicaName::new(name),
            generation,
            version: ModelVersion::new("v1"),
            member_boots: boots,
            ready: true,
        };
        for vm in &vms {
            if let Some(vm) = self.vms.get_mut(vm) {
                vm.alive = true;
                vm.formation = Some(formation.clone());
            }
        }
        self.checks.observe(Observation::Formed {
            replica: ReplicaName::new(name),
            generation,
            vms,
        });
        let value = serde_json::to_string(&self.placement).expect("a placement is JSON");
        self.store.put("placement/d1", value);
        self.wake_watches();
    }

    pub(super) fn members(&self, name: &ReplicaName) -> Vec<VmName> {
        let mut replicas = self.placement.replicas.iter();
        let replica = replicas.find(|replica| replica.name == *name);
        replica.map(|replica| replica.vms.clone()).unwrap_or_default()
    }

    /// Writes the next configuration.
    pub fn change_config(&mut self) {
        self.config.number = self.config.number.next();
        self.write_config();
    }

    pub(super) fn write_config(&mut self) {
        let value = serde_json::to_string(&self.config).expect("a configuration is JSON");
        self.store.put("config/current", value);
        self.wake_watches();
    }

    /// Records a change of the VM list, which entries see with a delay.
    pub(super) fn record_vm_list(&mut self) {
        let targets = self.vms.values().map(|vm| vm.listed.clone());
        let entries = (0..self.entries.len()).map(|entry| VmEntry {
            vm: VmName::new(node_name(entry).as_str()),
            role: VmRole::Entry,
            address: entry_address(entry),
            data_centre: DataCentreName::new(DATA_CENTRE),
            domain: None,
            accelerators: 0,
            phase: VmPhase::Live,
        });
        self.list_history.push((self.now, targets.chain(entries).collect()));
    }

    pub(super) fn lagging_vm_list(&self) -> Vec<VmEntry> {
        let seen_until = self.now.saturating_sub(self.list_lag_ms);
        let known = self.list_history.iter().rev().find(|(at, _)| *at <= seen_until);
        known.map(|(_, entries)| entries.clone()).unwrap_or_default()
    }

    pub(super) fn is_up(&self, entry: usize) -> bool {
        self.entries[entry].as_ref().is_some_and(|fake| fake.paused_until <= self.now)
    }

    pub(super) fn is_cut(&self, entry: usize, vm: &VmName) -> bool {
        self.cut_targets.get(&(entry, vm.clone())).is_some_and(|until| *until > self.now)
    }

    pub(super) fn are_entries_cut(&self, one: usize, other: usize) -> bool {
        let link = (one.min(other), one.max(other));
        self.cut_entries.get(&link).is_some_and(|until| *until > self.now)
    }

    pub(super) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now + delay_ms, event);
    }

    pub(super) fn schedule_at(&mut self, at: u64, event: Event) {
        self.last_seq += 1;
        self.queue.insert((at, self.last_seq), event);
    }

    pub(super) fn schedule_wake(&mut self, process: Process, at: u64) {
        if self.wakes.insert((process, at)) {
            self.schedule_at(at, Event::Wake(process));
        }
    }

    /// Runs all events up to `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.dispatch(event);
        }
        self.now = end;
    }

    /// Runs an event, or defers it while its process is paused.
    fn dispatch(&mut self, event: Event) {
        let process = match &event {
            Event::Wake(process)
            | Event::ToEntry(process, _)
            | Event::FromTarget { process, .. }
            | Event::ReadTimeout(process, ..)
            | Event::StoreReply { process, .. }
            | Event::DelegatedCompletes { to: process, .. } => Some(*process),
            Event::DriverSend(exchange) => Some(exchange.process),
            _ => None,
        };
        let now = self.now;
        if let Some(process) = process {
            let Some(fake) = self.process(process) else { return };
            // Events deferred during the pause run before later ones.
            if fake.paused_until > now || !fake.deferred.is_empty() {
                return fake.deferred.push(event);
            }
        }
        self.run(event);
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Wake(process) => {
                self.wakes.remove(&(process, self.now));
                self.deliver(process, EntryEvent::Tick);
            }
            Event::Resume(process) => {
                let now = self.now;
                let Some(fake) = self.process(process) else { return };
                if fake.paused_until <= now {
                    let deferred = std::mem::take(&mut fake.deferred);
                    deferred.into_iter().for_each(|event| self.run(event));
                }
            }
            Event::ToEntry(process, event) => self.deliver(process, event),
            Event::DriverSend(exchange) => self.driver_send(&exchange),
            Event::ReachTarget(exchange) => self.reach_target(&exchange),
            Event::FromTarget { process, ticket, attempt, step, running_vms } => {
                let step = if self.are_running(&running_vms) { step } else { Step::Reset };
                self.target_step(process, ticket, attempt, step);
            }
            Event::ReadTimeout(process, ticket, attempt) => {
                self.read_timeout(process, ticket, attempt);
            }
            Event::StoreArrive { process, call, request, answer } => {
                self.store_arrive(process, call, &request, answer);
            }
            Event::StoreReply { process, call, reply } => {
                self.deliver(process, EntryEvent::Store { call, reply });
            }
            Event::WatchEnd { process, call } => self.watch_end(process, call),
            Event::Restored(vm) => self.checks.observe(Observation::Restored { vm }),
            Event::PollArrive(process, vm) => self.poll_arrive(process, &vm),
            Event::DelegatedArrives { from, ticket, to, head, key } => {
                self.delegated_arrives(from, ticket, to, head, key);
            }
            Event::DelegatedCompletes { to, ticket, outcome } => {
                self.delegated_completes(to, ticket, outcome);
            }
            Event::SendCall { operation, entry } => self.send_call(operation, entry),
            Event::CallerTimeout(call) => self.time_out_caller(call),
            Event::GetKey { operation, entry } => self.get_key(operation, entry),
            Event::Fault(fault) => self.inject(fault),
        }
    }
}
