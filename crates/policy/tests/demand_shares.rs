//! The slots of pooled replicas are shared by the demand of the nodes' callers.

mod cluster;

use cluster::Cluster;

/// Nodes and replicas: each node has about fourteen, seven and one slot.
const FLEETS: [(usize, u32); 3] = [(8, 6), (58, 20), (986, 50)];

#[test]
fn trial_print() {
    for demand in [false, true] {
        for (nodes, replicas) in FLEETS {
            let new = || match demand {
                true => Cluster::with_demand(3, nodes, replicas),
                false => Cluster::with_subsets(3, nodes, replicas),
            };
            // steady overload
            let mut c = new();
            c.set_utilisation(0.7);
            c.run(4_000);
            let o = c.run(3_000);
            println!("{demand} {nodes} steady .7 {o:?} {:?}", c.slot_use);
            c.set_utilisation(1.5);
            let o = c.run(1_000);
            println!("{demand} {nodes} surge 1st {o:?} {:?}", c.slot_use);
            let o = c.run(3_000);
            println!("{demand} {nodes} surge late {o:?} {:?}", c.slot_use);
            // loss of two thirds
            let mut c = new();
            c.set_utilisation(0.85);
            c.run(6_000);
            let failed: Vec<usize> = (0..nodes).filter(|n| n % 3 != 1).collect();
            c.fail_nodes(&failed);
            for s in 0..6 {
                if s == 3 {
                    c.list_failed();
                }
                let o = c.run(1_000);
                println!("{demand} {nodes} loss {s} {o:?} {:?}", c.slot_use);
            }
            // move
            let mut c = new();
            c.set_utilisation(0.85);
            let half = |low: bool| {
                (0..nodes)
                    .map(|n| if (n % 2 == 0) == low { 1.0 } else { 0.01 })
                    .collect::<Vec<f64>>()
            };
            c.set_weights(half(true));
            c.run(6_000);
            c.set_weights(half(false));
            for s in 0..3 {
                let o = c.run(1_000);
                println!("{demand} {nodes} move {s} {o:?} {:?}", c.slot_use);
            }
        }
    }
}
