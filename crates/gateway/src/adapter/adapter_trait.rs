use celeryhaven_fleet::{Configuration, OrderOutcome, TargetEntry, TargetOrder};
use celeryhaven_store::StoreCodec;
use celeryhaven_types::VmName;
use celeryhaven_types::store::ObjectKey;
use http::{HeaderMap, StatusCode};

use crate::adapter::{
    AddressAnswer, AnswerHead, CallerHead, ParseError, Paths, TargetCall, TargetRequestHead,
};

/// Translation between one platform and the gateway.
///
/// An adapter is stateless and makes no decisions: each function parses input of the platform or
/// encodes values for it. Implementations must not panic on any input.
pub trait Adapter: StoreCodec + Clone + Send + Sync + 'static {
    /// Returns the key of the configuration object.
    fn configuration_key(&self) -> ObjectKey;

    /// Returns the key prefix of the target entries, including the last slash.
    fn targets_prefix(&self) -> ObjectKey;

    /// Returns the key prefix of the evacuations, including the last slash; the rest of a key is
    /// the name of the evacuated data centre.
    fn evacuations_prefix(&self) -> ObjectKey;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// The value is not a valid configuration.
    fn configuration(&self, value: &str) -> Result<Configuration, ParseError>;

    /// Parses a target entry.
    ///
    /// # Errors
    ///
    /// The value does not describe a usable target.
    fn target(&self, name: &VmName, value: &str) -> Result<TargetEntry, ParseError>;

    /// Encodes an order as a call to a target.
    fn order(&self, order: &TargetOrder) -> TargetCall;

    /// Maps the status of an answer to the outcome of an order.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Returns the paths that the platform uses.
    fn paths(&self) -> Paths;

    /// Encodes the answer to an address lookup as JSON.
    fn address_answer(&self, answer: &AddressAnswer<'_>) -> String;

    /// Parses the headers of a caller's request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Replaces a caller's headers by those for a target.
    fn prepare_headers(&self, headers: &mut HeaderMap, head: &TargetRequestHead<'_>);

    /// Adds the name of the addressed target; any other target refuses the call.
    fn expect_target(&self, headers: &mut HeaderMap, name: &VmName);

    /// Parses the head of a target's answer.
    fn answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}
