//! Two candidates for one lease, a store of one object, and a holder that stops renewing.

use celeryhaven_lease::{Lease, LeaseSettings, Proximity};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{Boot, Incarnation, NodeName, TimeMs};

#[derive(Default)]
struct OneObject {
    object: Option<Object>,
}

impl OneObject {
    fn call(&mut self, request: StoreRequest) -> StoreReply {
        let version = self.object.as_ref().map(|o| o.version).unwrap_or_default();
        match request {
            StoreRequest::Create { key, value } if self.object.is_none() => {
                self.write(Object { key, version: version.next(), value })
            }
            StoreRequest::Update { key, version: expected, value } if expected == version => {
                self.write(Object { key, version: version.next(), value })
            }
            StoreRequest::Get { .. } => {
                self.object.clone().map_or(StoreReply::Missing, StoreReply::Found)
            }
            _ => StoreReply::Conflict,
        }
    }

    fn write(&mut self, object: Object) -> StoreReply {
        let version: ObjectVersion = object.version;
        self.object = Some(object);
        StoreReply::Written { version }
    }
}

fn main() {
    let mut store = OneObject::default();
    let mut candidates: Vec<Lease> = (0..2)
        .map(|i| {
            let me = Incarnation::new(NodeName::new(format!("entry-{i}")), Boot::new(1));
            let key = ObjectKey::new("leases/fabric-1");
            Lease::new(key, me, Proximity::Near, LeaseSettings::default(), i)
        })
        .collect();
    let mut holder = None;
    let mut first = None;
    for now in (0..30_000).step_by(100).map(TimeMs::new) {
        for (i, lease) in candidates.iter_mut().enumerate() {
            if now.get() > 10_000 && first == Some(i) {
                continue;
            }
            lease.observe(now, store.object.as_ref());
            while let Some(request) = lease.poll(now) {
                lease.apply_reply(now, store.call(request));
            }
        }
        let holds: Vec<usize> = (0..2).filter(|i| candidates[*i].held(now).is_some()).collect();
        assert!(holds.len() <= 1, "two holders at {now}");
        if holds.first().copied() != holder {
            holder = holds.first().copied();
            first = first.or(holder);
            println!("{:>6} ms: holder {holder:?}", now.get());
        }
    }
}
