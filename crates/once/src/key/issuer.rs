use std::collections::VecDeque;

use celeryhaven_types::{Incarnation, OrganisationName, TimeMs};
use sha2::{Digest, Sha256};

use crate::key::RequestKey;
use crate::key::request_key::TAIL_BYTES;

/// Status of a presented key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// Issued to this organisation and not expired.
    Valid {
        /// Expiry time.
        until: TimeMs,
    },
    /// Issued to this organisation, but expired, so its outcome is no longer recorded.
    Expired,
    /// Never issued to this organisation by this incarnation.
    Unknown,
}

/// Issues request keys of one incarnation and verifies presented keys.
///
/// Memory is bounded: one record per batch, and at most `keys_max` unexpired keys. The tail of a
/// key is a keyed hash over issuer, sequence and organisation, so that keys cannot be guessed and
/// an expired key can be distinguished from a forged one.
#[derive(Clone, Debug)]
pub struct KeyIssuer {
    incarnation: Incarnation,
    seed: [u8; 32],
    keys_max: u64,
    key_life_ms: u64,
    next_sequence: u64,
    batches: VecDeque<Batch>,
}

#[derive(Clone, Debug)]
struct Batch {
    first: u64,
    count: u64,
    organisation: OrganisationName,
    issued_at: TimeMs,
}

impl KeyIssuer {
    /// Creates an issuer without issued keys; `seed` must be unpredictable.
    pub const fn new(
        incarnation: Incarnation,
        seed: [u8; 32],
        keys_max: u64,
        key_life_ms: u64,
    ) -> Self {
        let batches = VecDeque::new();
        Self { incarnation, seed, keys_max, key_life_ms, next_sequence: 1, batches }
    }

    /// Issues up to `count` keys; fewer, or none, while the limits are reached.
    ///
    /// Each organisation is limited to a quarter of all unexpired keys, so that one caller cannot
    /// exhaust the keys of the others.
    pub fn issue(
        &mut self,
        now: TimeMs,
        organisation: &OrganisationName,
        count: u64,
    ) -> Vec<RequestKey> {
        self.expire(now);
        let live: u64 = self.batches.iter().map(|batch| batch.count).sum();
        let own = self.batches.iter().filter(|batch| batch.organisation == *organisation);
        let own: u64 = own.map(|batch| batch.count).sum();
        let available = self.keys_max.saturating_sub(live);
        let count = count.min(available).min((self.keys_max / 4).saturating_sub(own));
        if count == 0 {
            return Vec::new();
        }
        let first = self.next_sequence;
        self.next_sequence += count;
        let organisation = organisation.clone();
        let keys = (first..first + count).map(|sequence| self.key(sequence, &organisation));
        let keys = keys.collect();
        self.batches.push_back(Batch { first, count, organisation, issued_at: now });
        keys
    }

    /// Returns the status of a key that names this incarnation.
    pub fn check(
        &self,
        now: TimeMs,
        organisation: &OrganisationName,
        key: &RequestKey,
    ) -> KeyStatus {
        let expected = self.tail(key.sequence, organisation);
        let difference = expected.iter().zip(&key.tail).fold(0, |sum, (a, b)| sum | (a ^ b));
        if key.issuer != self.incarnation || difference != 0 || key.sequence >= self.next_sequence {
            return KeyStatus::Unknown;
        }
        let after = self.batches.partition_point(|batch| batch.first <= key.sequence);
        let batch = after.checked_sub(1).and_then(|index| self.batches.get(index));
        let until = batch
            .filter(|batch| key.sequence < batch.first + batch.count)
            .map(|batch| batch.issued_at.after(self.key_life_ms))
            .filter(|until| *until > now);
        until.map_or(KeyStatus::Expired, |until| KeyStatus::Valid { until })
    }

    /// Returns the lifetime of a key from its issue, in milliseconds.
    pub const fn key_life_ms(&self) -> u64 {
        self.key_life_ms
    }

    fn expire(&mut self, now: TimeMs) {
        while let Some(batch) = self.batches.front() {
            if batch.issued_at.after(self.key_life_ms) > now {
                return;
            }
            self.batches.pop_front();
        }
    }

    fn key(&self, sequence: u64, organisation: &OrganisationName) -> RequestKey {
        let tail = self.tail(sequence, organisation);
        RequestKey { issuer: self.incarnation.clone(), sequence, tail }
    }

    fn tail(&self, sequence: u64, organisation: &OrganisationName) -> [u8; TAIL_BYTES] {
        let mut hash = Sha256::new();
        hash.update(self.seed);
        hash.update(sequence.to_be_bytes());
        hash.update(self.incarnation.boot.get().to_be_bytes());
        hash.update(self.incarnation.node.as_str());
        hash.update([0]);
        hash.update(organisation.as_str());
        let digest = hash.finalize();
        let mut tail = [0; TAIL_BYTES];
        tail.copy_from_slice(&digest[..TAIL_BYTES]);
        tail
    }
}
