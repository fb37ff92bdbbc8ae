use celeryhaven_derives::data;
use celeryhaven_types::ServiceName;

data! {
    /// How requests below a path of one host are handled.
    pub struct Route {
        /// The route name.
        pub name: String,
        /// The host that callers request.
        pub host: String,
        /// Path prefix, starting and ending with a slash.
        pub path_prefix: String,
        /// The form of the answer, and whether a request may be repeated.
        pub kind: RouteKind,
        /// Maximum time until the answer is complete, in milliseconds.
        pub timeout_ms: u64,
        /// Time within which an answer has its full worth, in milliseconds.
        pub objective_ms: u64,
        /// Longest pause between events with which an answer has its full worth, in milliseconds.
        pub pause_max_ms: Option<u64>,
        /// Rank of its requests, 0 first.
        pub rank: u8,
        /// Services that share the requests.
        pub shares: Vec<ServiceShare>,
        /// Maximum number of attempts for one request.
        pub attempts_max: u32,
        /// Whether callers without a key are accepted.
        pub anonymous: bool,
    }

    /// A service's share of a route.
    pub struct ServiceShare {
        /// The service.
        pub service: ServiceName,
        /// Weight relative to the other services of the route.
        pub weight: u32,
    }

    /// The form of an answer, and whether the request may be repeated.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// A plain answer; the request may run more than once.
        Idempotent,
        /// A plain answer; the request runs at most once.
        NonIdempotent,
        /// A stream of events.
        Stream {
            /// Whether another target may continue after the last event delivered.
            resumable: bool,
        },
    }
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

impl Route {
    /// Selects a service by weight, from a fraction between 0 and 1.
    pub fn select_service(&self, fraction: f64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = (fraction * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        self.shares.iter().rev().find(|share| share.weight > 0).map(|share| &share.service)
    }
}
