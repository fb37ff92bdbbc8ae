use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_checks::{Answer, CallId, OperationId, Piece};
use celeryhaven_node::{Attempt, EntryEvent};
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, Generation, Refusal, ReplicaName, RequestHead, TimeMs, VmName};

/// A process of an entry: index of its VM, and boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    pub entry: usize,
    pub boot: Boot,
}

/// The final outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Answer),
    Refused(Refusal),
}

/// An attempt at a target in the driver.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub process: Process,
    pub ticket: Ticket,
    pub attempt: Attempt,
    pub operation: OperationId,
    pub pieces: u32,
    pub address: SocketAddr,
    pub replica: Option<(ReplicaName, Generation)>,
    pub send_before: TimeMs,
    pub resume_from: u32,
    pub deadline_at: u64,
}

/// The VMs that run a request, with the boots of their engines.
pub type RunningVms = Arc<[(VmName, Boot)]>;

/// A step of a target's response.
#[derive(Clone, Debug)]
pub enum Step {
    Refused,
    Head,
    Piece(Piece),
    End,
    Reset,
}

/// A fault or a change injected into the simulation.
#[derive(Clone, Debug)]
pub enum Fault {
    KillEntry(usize),
    StartEntry(usize),
    PauseEntry { entry: usize, for_ms: u64 },
    CutEntries { one: usize, other: usize, for_ms: u64 },
    CutTarget { entry: usize, vm: &'static str, for_ms: u64 },
    StoreDown { for_ms: u64 },
    KillVm(&'static str),
    SilenceVm { vm: &'static str, for_ms: u64 },
    RestartVm { vm: &'static str, claims_old: bool },
    SlowReports { vm: &'static str, by_ms: u64 },
    LeaveVm { vm: &'static str, by_vm_list: bool },
    ReformReplica { replica: &'static str },
    LeaveFormation { vm: &'static str },
    OldGeneration { vm: &'static str },
    StopEntry(usize),
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum Event {
    Wake(Process),
    Resume(Process),
    ToEntry(Process, EntryEvent),
    DriverSend(Exchange),
    ReachTarget(Exchange),
    /// Delivered only if the VMs that run the request still have the same boots.
    FromTarget {
        process: Process,
        ticket: Ticket,
        attempt: Attempt,
        step: Step,
        running_vms: RunningVms,
    },
    ReadTimeout(Process, Ticket, Attempt),
    StoreArrive {
        process: Process,
        call: StoreCallId,
        request: StoreRequest,
        answer: bool,
    },
    StoreReply {
        process: Process,
        call: StoreCallId,
        reply: StoreReply,
    },
    WatchEnd {
        process: Process,
        call: StoreCallId,
    },
    Restored(VmName),
    PollArrive(Process, VmName),
    DelegatedArrives {
        from: Process,
        ticket: Ticket,
        to: usize,
        head: RequestHead,
        key: String,
    },
    DelegatedCompletes {
        to: Process,
        ticket: Ticket,
        outcome: Option<Outcome>,
    },
    SendCall {
        operation: OperationId,
        entry: usize,
    },
    CallerTimeout(CallId),
    GetKey {
        operation: OperationId,
        entry: usize,
    },
    Fault(Fault),
}
