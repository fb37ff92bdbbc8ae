//! Request traffic: admission, attempts, streams and cancellation.

mod attempt;
mod body;
mod caller_request;
mod confirmation;
mod delegation;
mod delivery_times;
mod demand_part;
mod dispatch_state;
mod dispatcher;
mod end_check;
mod exchange;
mod forward;
mod holds;
mod isolated;
mod limits;
mod notices;
mod pool;
mod quarantine_gate;
mod read_buffers;
mod running_second;
mod second_attempts;
mod sink;
mod stopping;
mod unread_answers;
mod update;

pub(crate) use body::AnswerBody;
pub(crate) use caller_request::CallerRequest;
pub(crate) use confirmation::SharedConfirmation;
pub(crate) use delegation::{DELEGATED_HEADER, Delegated, add_delegation_refusal};
pub(crate) use dispatch_state::DispatchState;
pub(crate) use dispatcher::Dispatcher;
pub(crate) use exchange::Exchange;
pub(crate) use limits::TargetLimitMap;
pub(crate) use notices::{SharedNotices, TargetNotices};
pub(crate) use quarantine_gate::Admission;
pub(crate) use read_buffers::ReadBuffers;
pub(crate) use sink::{AnswerChunks, AnswerParts, AnswerSink, answer_sink};
pub(crate) use unread_answers::UnreadAnswers;
pub(crate) use update::{
    CrashReport, Destination, DestinationName, EndQuery, KnownDemand, NamedLimit, OfferedLoad,
    Senders, TrafficReport, TrafficUpdate,
};
