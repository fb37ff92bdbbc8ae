use std::fmt;
use std::str::FromStr;

use celeryhaven_derives::state;
use celeryhaven_types::{Boot, Incarnation, NodeName};
use snafu::Snafu;

/// Prefix of every issued key; reserved, so no caller-chosen key has it.
const PREFIX: &str = "chk1.";

/// Length of the keyed hash at the end of a key.
pub(crate) const TAIL_BYTES: usize = 16;

state! {
    /// A request key issued by one incarnation.
    ///
    /// ```
    /// use celeryhaven_once::RequestKey;
    /// let text = "chk1.entry-1.7.42.000102030405060708090a0b0c0d0e0f";
    /// let key: RequestKey = text.parse().unwrap();
    /// assert_eq!(key.issuer.node.as_str(), "entry-1");
    /// assert_eq!(key.to_string(), text);
    /// ```
    #[derive(Eq)]
    pub struct RequestKey {
        /// Incarnation that issued the key and is the only one that may run it.
        pub issuer: Incarnation,
        /// Sequence number among the keys of this incarnation.
        pub sequence: u64,
        /// Keyed hash that authenticates the key to its issuer.
        pub tail: [u8; TAIL_BYTES],
    }
}

/// Error for a text that is not a well-formed issued key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "malformed issued key: expected `chk1.NODE.BOOT.SEQUENCE.TAIL`; request a new key from `/v1/keys`"
))]
pub struct ParseKeyError;

impl RequestKey {
    /// Whether a text has the prefix of issued keys, well-formed or not.
    pub fn has_issued_prefix(text: &str) -> bool {
        text.starts_with(PREFIX)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}.{}.", self.issuer, self.sequence)?;
        self.tail.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let rest = text.strip_prefix(PREFIX).ok_or(ParseKeyError)?;
        let mut parts = rest.rsplitn(4, '.');
        let mut part = || parts.next().filter(|part| !part.is_empty()).ok_or(ParseKeyError);
        let (tail, sequence, boot, node) = (part()?, part()?, part()?, part()?);
        let boot = Boot::new(number(boot)?);
        Ok(Self {
            issuer: Incarnation::new(NodeName::new(node), boot),
            sequence: number(sequence)?,
            tail: tail_from_hex(tail)?,
        })
    }
}

fn number(text: &str) -> Result<u64, ParseKeyError> {
    text.parse().map_err(|_| ParseKeyError)
}

fn tail_from_hex(text: &str) -> Result<[u8; TAIL_BYTES], ParseKeyError> {
    let digits = text.as_bytes();
    let is_hex = digits.iter().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
    if digits.len() != 2 * TAIL_BYTES || !is_hex {
        return Err(ParseKeyError);
    }
    let value = u128::from_str_radix(text, 16).map_err(|_| ParseKeyError)?;
    Ok(value.to_be_bytes())
}
