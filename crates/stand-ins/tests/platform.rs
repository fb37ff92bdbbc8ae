//! Tests of the VM list and weights store stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryhaven_stand_ins::caller::Caller;
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::vm_list::VmList;
use celeryhaven_stand_ins::weights::WeightsStore;
use serde_json::json;

const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[test]
fn vm_list_lags() {
    smol::block_on(async {
        let server = Server::bind(LOOPBACK_ANY_PORT, Arc::new(VmList::new(60_000, Vec::new())))
            .await
            .unwrap();
        let vm = json!({
            "vm": "e-1", "role": "engine", "address": "127.0.0.1:1", "data_centre": "a",
            "domain": "d", "accelerators": 4, "phase": "leaving",
        });
        let url = format!("http://{}", server.address());
        let caller = Caller::new("key");
        let put = caller.send("PUT", &format!("{url}/vms"), Some(json!({"vms": [vm]}))).await;
        assert_eq!(put.unwrap().0, 200);
        let (_, visible) = caller.send("GET", &format!("{url}/vms"), None).await.unwrap();
        let (_, newest) = caller.send("GET", &format!("{url}/newest"), None).await.unwrap();
        assert_eq!(visible, json!({"vms": []}));
        assert_eq!(newest["vms"][0]["phase"], "leaving");
    });
}

#[test]
fn weights_shared_rate() {
    let store = WeightsStore::new(1_000);
    let start = Instant::now();
    let completed_at = [500, 500, 1_000].map(|bytes| store.schedule_read(bytes, start));
    let delays = completed_at.map(|at| at.duration_since(start));
    assert_eq!(delays, [500, 1_000, 2_000].map(Duration::from_millis));
    let later = start + Duration::from_secs(60);
    assert_eq!(store.schedule_read(1_000, later).duration_since(later), Duration::from_secs(1));
}
