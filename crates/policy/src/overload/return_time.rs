use rand::Rng;

/// Bounds of the time to return, as divisors of the time that the caller has left.
///
/// A return after a quarter is recognised as one, and callers obey up to a third. The answer is late in
/// any case, so that an earlier return gains nothing.
pub(crate) const RETURN_DIVISOR_LEAST: u64 = 4;
const RETURN_DIVISOR_MOST: u64 = 3;

/// Returns the milliseconds after which a refused caller with this much time left should return.
///
/// They are spread at random, so that the returns do not form a second surge.
pub fn return_after_ms(left_ms: u64, rng: &mut impl Rng) -> u64 {
    let least_ms = left_ms.div_ceil(RETURN_DIVISOR_LEAST);
    rng.random_range(least_ms..=least_ms.max(left_ms / RETURN_DIVISOR_MOST))
}
