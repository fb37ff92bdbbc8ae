use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_checks::{Answer, CallId, OperationId, Piece};
use celeryhaven_node::{Attempt, EntryEvent};
use celeryhaven_policy::Ticket;
use celeryhaven_types::store::{StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, Generation, Refusal, ReplicaName, RequestHead, TimeMs, VmName};

/// A process of an entry: index of its VM and which start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    pub entry: usize,
    pub boot: Boot,
}

/// How a request ended for whoever sent it to an entry.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Answer),
    Refused(Refusal),
}

/// One attempt at a target, as the driver carries it out.
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

/// The machines that run a request, and which start of their engines.
pub type Makers = Arc<[(VmName, Boot)]>;

/// What comes back from a target.
#[derive(Clone, Debug)]
pub enum Step {
    Refused,
    Head,
    Piece(Piece),
    End,
    Reset,
}

/// Something that happens to the world.
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
    LeaveVm { vm: &'static str, told_by_list: bool },
    FormAnew { replica: &'static str },
    LeaveFormation { vm: &'static str },
    OldGeneration { vm: &'static str },
    StopEntry(usize),
}

/// What the event queue holds.
#[derive(Clone, Debug)]
pub enum Event {
    Wake(Process),
    Resume(Process),
    ToEntry(Process, EntryEvent),
    DriverSend(Exchange),
    ReachTarget(Exchange),
    /// Comes from a target if the machines that make it still run as the same ones.
    FromTarget {
        process: Process,
        ticket: Ticket,
        attempt: Attempt,
        step: Step,
        makers: Makers,
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
    PassArrive {
        from: Process,
        ticket: Ticket,
        to: usize,
        head: RequestHead,
        key: String,
    },
    PassReturn {
        to: Process,
        ticket: Ticket,
        outcome: Option<Outcome>,
    },
    Ask {
        operation: OperationId,
        entry: usize,
    },
    Patience(CallId),
    GetKey {
        operation: OperationId,
        entry: usize,
    },
    Fault(Fault),
}
