use celeryhaven_derives::state;
use celeryhaven_types::ServiceName;

state! {
    /// Where requests below one path of one host go, and how.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host that callers name.
        pub host: String,
        /// Beginning of the path, from slash to slash.
        pub path_prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting, in milliseconds.
        pub timeout_ms: u64,
        /// Time within which an answer has its full worth, in milliseconds.
        pub objective_ms: u64,
        /// Rank among routes, 0 first.
        pub rank: u8,
        /// Services that share its requests.
        pub shares: Vec<ServiceShare>,
        /// Targets that one request may be sent to.
        pub attempts_max: u32,
        /// Whether callers need no key.
        pub anonymous: bool,
    }

    /// One service's part of a route.
    pub struct ServiceShare {
        /// The service.
        pub service: ServiceName,
        /// Its part, relative to the others'.
        pub weight: u32,
    }

    /// What may be repeated of a route's requests.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// A plain answer; the request may run more than once.
        Idempotent,
        /// A plain answer; the request runs at most once.
        NonIdempotent,
        /// A stream of events.
        Stream {
            /// Whether another target may go on after the last event delivered.
            resumable: bool,
        },
    }
}

impl RouteKind {
    /// Whether a request may run again after one that may have run.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

impl Route {
    /// The service that a number from 0 to 1 draws by weight.
    pub fn select_service(&self, fraction: f64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = (fraction * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        self.shares.iter().rev().find(|share| share.weight > 0).map(|share| &share.service)
    }
}
