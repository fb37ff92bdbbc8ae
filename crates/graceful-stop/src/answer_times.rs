use std::collections::VecDeque;

use celeryhaven_types::Map;

/// Answers of one route and length whose times are remembered.
const ANSWERS_MAX: usize = 32;

/// Routes whose answers are remembered; more are forgotten all at once.
const ROUTES_MAX: usize = 1_024;

/// How long complete answers have taken lately, by route and allowed length.
///
/// ```
/// use celeryhaven_graceful_stop::AnswerTimes;
/// let mut times = AnswerTimes::default();
/// times.record("drafts", 400, 5_200);
/// times.record("drafts", 20, 300);
/// assert_eq!(times.expected_ms("drafts", 390), Some(5_200));
/// assert_eq!(times.expected_ms("drafts", 25), Some(300));
/// // Of this length there was none: the longest of the route is expected.
/// assert_eq!(times.expected_ms("drafts", 100), Some(5_200));
/// assert_eq!(times.expected_ms("lookups", 0), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: Map<String, RouteTimes>,
}

/// Times of the latest answers, in milliseconds, by magnitude of their length.
type RouteTimes = Map<u32, VecDeque<u32>>;

impl AnswerTimes {
    /// Records a complete answer that was allowed to have `length` tokens, or 0 if it has none.
    pub fn record(&mut self, route: &str, length: u32, took_ms: u64) {
        if !self.routes.contains_key(route) {
            if self.routes.len() == ROUTES_MAX {
                self.routes.clear();
            }
            self.routes.insert(route.to_owned(), RouteTimes::default());
        }
        let Some(route) = self.routes.get_mut(route) else { return };
        let answers = route.entry(magnitude(length)).or_default();
        if answers.len() == ANSWERS_MAX {
            answers.pop_front();
        }
        answers.push_back(u32::try_from(took_ms).unwrap_or(u32::MAX));
    }

    /// Returns the longest time that such answers have taken; `None` if the route has had none.
    ///
    /// A cut answer costs its caller all of it, so the longest one counts and not the mean.
    pub fn expected_ms(&self, route: &str, length: u32) -> Option<u64> {
        let route = self.routes.get(route)?;
        let similar = route.get(&magnitude(length)).and_then(|answers| answers.iter().max());
        similar.or_else(|| route.values().flatten().max()).copied().map(u64::from)
    }
}

/// Returns the number of binary digits of a length.
fn magnitude(length: u32) -> u32 {
    u32::BITS - length.leading_zeros()
}
