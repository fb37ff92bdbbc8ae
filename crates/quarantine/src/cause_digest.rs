use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// Identifies what may end targets: the content of a request, or a part of prompts.
///
/// The same cause has the same digest at every node. A request id does not identify a request,
/// because each attempt of a caller has an id of its own.
///
/// ```
/// use celeryhaven_quarantine::CauseDigest;
///
/// let digest = CauseDigest::of_request(["POST", "h.example", "/a/", "joiners"], b"body");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// assert_ne!(digest, CauseDigest::of_part("models", "5c1e07a2"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct CauseDigest([u8; DIGEST_BYTES]);

/// Text that is not a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidDigest {
    /// The text.
    pub found: String,
}

impl CauseDigest {
    /// Computes the digest of a request from the parts of its head and its body.
    ///
    /// The parts are separated, so that moving text from one to the next changes the digest.
    pub fn of_request<'a>(head: impl IntoIterator<Item = &'a str>, body: &'a [u8]) -> Self {
        Self::of_request_in_parts(head, [body])
    }

    /// Computes the digest of a request whose body is held in parts, which do not change it.
    pub fn of_request_in_parts<'a>(
        head: impl IntoIterator<Item = &'a str>,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        Self::of("request", head, body)
    }

    /// Computes the digest of a part of the prompts that a service gets.
    pub fn of_part(service: &str, id: &str) -> Self {
        Self::of("part", [service, id], [])
    }

    fn of<'a>(
        kind: &str,
        head: impl IntoIterator<Item = &'a str>,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(kind);
        for part in head {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        body.into_iter().for_each(|part| hasher.update(part));
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns a hash of the digest, which is the same at every node.
    pub fn hash64(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Display for CauseDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for CauseDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CauseDigest({self})")
    }
}

impl FromStr for CauseDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let invalid = || InvalidDigest { found: text.to_owned() };
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(invalid());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, at) in digest.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(digest))
    }
}

impl From<CauseDigest> for String {
    fn from(digest: CauseDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for CauseDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        text.parse()
    }
}

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no digest; {} hexadecimal digits are needed",
            self.found,
            2 * DIGEST_BYTES
        )
    }
}

impl std::error::Error for InvalidDigest {}
