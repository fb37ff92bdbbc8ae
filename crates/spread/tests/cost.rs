//! Load that an idle fleet causes on its nodes and the Object API.

mod common;

use common::{KEY, World};

const IDLE_MS: u64 = 30_000;

/// Returns messages and bytes per node and calls of the whole fleet, per second without changes.
fn idle_cost(count: usize, data_centres: usize) -> (f64, f64, f64) {
    let mut world = World::new(count, data_centres, 3);
    world.store.write(KEY, "a configuration");
    world.run_ms(20_000);
    world.sent_bytes.fill(0);
    world.sent_messages.fill(0);
    world.store.calls = 0;
    world.run_ms(IDLE_MS);
    let seconds = IDLE_MS as f64 / 1_000.0;
    let node_seconds = seconds * count as f64;
    let messages = world.sent_messages.iter().sum::<u64>() as f64 / node_seconds;
    let bytes = world.sent_bytes.iter().sum::<u64>() as f64 / node_seconds;
    (messages, bytes, world.store.calls as f64 / seconds)
}

#[test]
fn idle_cost_independent_of_fleet_size() {
    let (messages, bytes, calls) = idle_cost(8, 3);
    println!("8 nodes: {messages:.2} messages/s, {bytes:.0} B/s a node; {calls:.1} calls/s");
    let (large_messages, large_bytes, large_calls) = idle_cost(340, 10);
    println!(
        "340 nodes: {large_messages:.2} messages/s, {large_bytes:.0} B/s a node; \
         {large_calls:.1} calls/s"
    );
    assert!(large_messages <= messages * 1.1);
    assert!(large_bytes <= bytes * 1.1);
    // Two relays per data centre with two watches each, renewed every second.
    assert!(large_calls <= 10.0 * 2.0 * 2.0);
}
