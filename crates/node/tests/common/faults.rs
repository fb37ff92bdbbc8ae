use celeryhaven_checks::Observation;
use celeryhaven_node::EntryEvent;
use celeryhaven_types::store::StoreReply;
use celeryhaven_types::{Boot, Generation, TimeMs, VmName, VmPhase};

use super::events::{Event, Fault, Process};
use super::world::World;

impl World {
    /// Schedules a fault.
    pub fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.schedule_at(at_ms, Event::Fault(fault));
    }

    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry(entry) => self.kill_entry(entry),
            Fault::StartEntry(entry) => {
                if self.entries[entry].is_none() {
                    self.start_entry(entry);
                }
            }
            Fault::PauseEntry { entry, for_ms } => self.pause_entry(entry, for_ms),
            Fault::CutEntries { one, other, for_ms } => {
                self.cut_entries.insert((one.min(other), one.max(other)), self.now + for_ms);
            }
            Fault::CutTarget { entry, vm, for_ms } => {
                self.cut_targets.insert((entry, VmName::new(vm)), self.now + for_ms);
            }
            Fault::StoreDown { for_ms } => self.store_down(for_ms),
            Fault::KillVm(vm) => self.change_vm(vm, |vm| vm.alive = false),
            Fault::SilenceVm { vm, for_ms } => {
                let until = self.now + for_ms;
                self.change_vm(vm, |vm| vm.silent_until = until);
                self.schedule(for_ms, Event::Restored(VmName::new(vm)));
            }
            Fault::RestartVm { vm, claims_old } => self.change_vm(vm, |vm| {
                vm.alive = true;
                vm.boot = Boot::new(vm.boot.get() + 1_000);
                vm.formation = vm.formation.take().filter(|_| claims_old);
            }),
            Fault::LeaveFormation { vm } => self.change_vm(vm, |vm| vm.formation = None),
            Fault::OldGeneration { vm } => self.change_vm(vm, |vm| {
                if let Some(formation) = &mut vm.formation {
                    formation.generation =
                        Generation::new(formation.generation.get().saturating_sub(1));
                }
            }),
            Fault::SlowReports { vm, by_ms } => {
                if let Some(vm) = self.vms.get_mut(&VmName::new(vm)) {
                    vm.reports_late_ms = by_ms;
                }
            }
            Fault::LeaveVm { vm, by_vm_list } => self.leave_vm(vm, by_vm_list),
            Fault::ReformReplica { replica } => self.reform_replica(replica),
            Fault::StopEntry(entry) => {
                let boot = self.entries[entry].as_ref().map(|fake| fake.boot);
                if let Some(boot) = boot {
                    self.deliver(Process { entry, boot }, EntryEvent::Leave);
                }
            }
        }
    }

    fn pause_entry(&mut self, entry: usize, for_ms: u64) {
        let until = self.now + for_ms;
        let Some(fake) = self.entries[entry].as_mut() else { return };
        fake.paused_until = fake.paused_until.max(until);
        let process = Process { entry, boot: fake.boot };
        self.schedule(for_ms, Event::Resume(process));
    }

    fn store_down(&mut self, for_ms: u64) {
        self.store.down_until = self.now + for_ms;
        for waiter in std::mem::take(&mut self.store.waiters) {
            let (process, call) = (waiter.process, waiter.call);
            let reply = StoreReply::Unknown;
            self.schedule(1, Event::StoreReply { process, call, reply });
        }
    }

    fn change_vm(&mut self, vm: &str, change: impl FnOnce(&mut super::vms::FakeVm)) {
        let name = VmName::new(vm);
        let at = TimeMs::new(self.now);
        if let Some(vm) = self.vms.get_mut(&name) {
            change(vm);
            self.checks.observe(Observation::Lost { at, vm: name });
        }
    }

    fn leave_vm(&mut self, vm: &str, by_vm_list: bool) {
        let name = VmName::new(vm);
        let at = TimeMs::new(self.now);
        self.checks.observe(Observation::Leaving { at, vm: name.clone() });
        if by_vm_list {
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.listed.phase = VmPhase::Leaving;
            }
            self.record_vm_list();
        } else {
            self.config.drained_vms.push(name);
            self.config.number = self.config.number.next();
            self.write_config();
        }
    }
}
