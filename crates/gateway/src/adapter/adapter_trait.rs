use celeryhaven_fleet::{Configuration, OrderOutcome, TargetEntry, TargetOrder};
use celeryhaven_store::StoreWire;
use celeryhaven_types::VmName;
use celeryhaven_types::store::ObjectKey;
use http::{HeaderMap, StatusCode};

use crate::adapter::{
    AddressAnswer, AnswerHead, CallerHead, ParseError, Paths, TargetCall, TargetRequestHead,
};

/// Translates between one platform and the product.
///
/// It holds no state and decides nothing: each function turns what the platform wrote into typed
/// values, or typed values into what the platform reads. No bytes from outside make it panic.
pub trait Adapter: StoreWire + Clone + Send + Sync + 'static {
    /// The object that holds the newest configuration.
    fn configuration_key(&self) -> ObjectKey;

    /// The prefix of the objects that list targets, up to and with the last slash.
    fn targets_prefix(&self) -> ObjectKey;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// It is not one.
    fn configuration(&self, value: &str) -> Result<Configuration, ParseError>;

    /// Reads the entry of a target.
    ///
    /// # Errors
    ///
    /// It names no target that can be used.
    fn target(&self, name: &VmName, value: &str) -> Result<TargetEntry, ParseError>;

    /// An order as a target takes it.
    fn order(&self, order: &TargetOrder) -> TargetCall;

    /// What the status of an answer says of an order.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// The paths that the platform uses.
    fn paths(&self) -> Paths;

    /// An answer for a caller that asks for addresses, as JSON.
    fn address_answer(&self, answer: &AddressAnswer<'_>) -> String;

    /// Reads the head of a caller's request.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Turns a caller's headers into those for a target.
    fn prepare_headers(&self, headers: &mut HeaderMap, head: &TargetRequestHead<'_>);

    /// Names the target that is meant by a call; any other refuses it.
    fn expect_target(&self, headers: &mut HeaderMap, name: &VmName);

    /// Reads the head of a target's answer.
    fn answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}
