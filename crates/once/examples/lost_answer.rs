//! A caller loses its connection and retries with the same key; the request runs once.

use celeryhaven_once::{KeyedRequest, Once, OnceSettings};
use celeryhaven_types::{Boot, Incarnation, NodeName, OrganisationName, TimeMs};

fn main() {
    let incarnation = Incarnation::new(NodeName::new("entry-1"), Boot::new(1));
    let organisation = OrganisationName::new("attics");
    // In production the seed must come from the random number generator of the operating system.
    let mut once: Once<u32> = Once::new(incarnation, OnceSettings::default(), [7; 32]);
    let key = once.issue(TimeMs::new(0), &organisation, 1).remove(0).to_string();
    println!("issued {key}");

    let mut out = Vec::new();
    for ticket in [1, 2] {
        let request = KeyedRequest {
            ticket,
            organisation: &organisation,
            key: &key,
            fingerprint: 42,
            deadline_at: TimeMs::new(30_000),
            delegated: false,
        };
        once.present(TimeMs::new(10), request, &mut out);
        println!("request {ticket}: {out:?}");
        out.clear();
    }
    once.record_answer(TimeMs::new(500), 1, &mut out);
    println!("request 1 answered: {out:?}");
}
