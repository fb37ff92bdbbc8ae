//! Helpers for the tests of the engine stand-in.

#![allow(clippy::unwrap_used, reason = "a test helper panics as its test does")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryhaven_stand_ins::caller::Caller;
use celeryhaven_stand_ins::engine::{EngineFleet, EngineSettings};
use serde_json::{Value, json};

/// The loopback address with an automatically assigned port.
pub const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Four engine VMs that form one replica.
pub struct Group {
    pub fleet: EngineFleet,
    pub members: Vec<SocketAddr>,
    pub caller: Caller,
    next_order: u64,
}

impl Group {
    pub async fn new(settings: EngineSettings) -> Self {
        let fleet = EngineFleet::new();
        let mut members = Vec::new();
        for rank in 0..4 {
            members.push(
                fleet
                    .start(&format!("vm-{rank}"), LOOPBACK_ANY_PORT, settings.clone())
                    .await
                    .unwrap(),
            );
        }
        Self { fleet, members, caller: Caller::new("key"), next_order: 0 }
    }

    /// Sends an order to a member and returns the status and the body of its answer.
    pub async fn order(&mut self, rank: usize, fence: u64, kind: Value) -> (u16, Value) {
        self.next_order += 1;
        let order =
            json!({"domain": "d-1", "fence": fence, "order_id": self.next_order, "kind": kind});
        let url = format!("http://{}/orders", self.members[rank]);
        self.caller.send("POST", &url, Some(order)).await.unwrap()
    }

    pub async fn join(&mut self, rank: usize, generation: u64) {
        let kind = json!({"join": {
            "replica": "r-1", "generation": generation, "rank": rank, "members": self.members,
            "model": "m", "version": "v1", "adapters": ["a-1"], "weights_bytes": 1_000_000,
        }});
        let (status, _) = self.order(rank, 1, kind).await;
        assert_eq!(status, 200);
    }

    pub async fn join_all(&mut self, generation: u64) {
        for rank in 0..4 {
            self.join(rank, generation).await;
        }
        self.wait_for(|report| report["formation"]["ready"] == true).await;
    }

    pub async fn status(&self, rank: usize) -> Option<Value> {
        let url = format!("http://{}/status", self.members[rank]);
        self.caller.send("GET", &url, None).await.map(|(_, body)| body)
    }

    /// Waits until the report of rank 0 meets a condition, and returns it.
    pub async fn wait_for(&self, condition: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let report = self.status(0).await.unwrap_or(Value::Null);
            if condition(&report) {
                return report;
            }
            assert!(
                start.elapsed() < Duration::from_secs(30),
                "condition not met within 30 s: {report}"
            );
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    }
}
