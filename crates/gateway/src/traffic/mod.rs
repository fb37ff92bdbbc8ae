//! Requests: admission, attempts, streams, cancels.

mod ask;
mod attempt;
mod body;
mod delivery;
mod exchange;
mod gate;
mod gate_state;
mod pool;
mod relay;
mod sink;
mod update;

pub(crate) use ask::Ask;
pub(crate) use body::AnswerBody;
pub(crate) use exchange::Exchange;
pub(crate) use gate::Gate;
pub(crate) use gate_state::GateState;
pub(crate) use sink::{AnswerParts, Sink, sink};
pub(crate) use update::{OfferedWork, Routable, RoutableName, TrafficReport, TrafficUpdate};
