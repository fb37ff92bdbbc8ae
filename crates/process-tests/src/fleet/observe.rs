use std::time::{Duration, Instant};

use celeryhaven_stand_ins::engine::EngineRun;
use celeryhaven_stand_ins::plain::PlainRun;
use serde_json::{Value, json};
use smol::Timer;

use crate::fleet::{Fleet, FleetError};

impl Fleet {
    /// Waits until something is so, and returns what it found.
    pub async fn until<T, F: Future<Output = Option<T>>>(
        &self,
        what: &str,
        longest_s: u64,
        mut look: impl FnMut() -> F,
    ) -> Result<T, FleetError> {
        let start = Instant::now();
        loop {
            if let Some(found) = look().await {
                return Ok(found);
            }
            if start.elapsed() > Duration::from_secs(longest_s) {
                let folder = self.folder.clone();
                return Err(FleetError::Late { what: what.to_owned(), folder });
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// Reports of all engine VMs that answer, by number.
    pub async fn reports(&self) -> Vec<(usize, Value)> {
        let mut reports = Vec::new();
        for number in 0..self.shape.engines() {
            let url = format!("http://{}/status", self.addresses.engine(number));
            if let Some((200, report)) = self.observer.send("GET", &url, None).await {
                reports.push((number, report));
            }
        }
        reports
    }

    /// Replicas whose members all say that they are ready, with their members' numbers.
    pub async fn whole_replicas(&self) -> Vec<(String, Vec<usize>)> {
        let mut members = std::collections::BTreeMap::<String, Vec<usize>>::new();
        for (number, report) in self.reports().await {
            let formation = &report["formation"];
            if formation["ready"] == true {
                let name = formation["replica"].as_str().unwrap_or_default().to_owned();
                members.entry(name).or_default().push(number);
            }
        }
        let wanted = self.shape.vms_per_replica as usize;
        members.into_iter().filter(|(_, numbers)| numbers.len() == wanted).collect()
    }

    /// Waits until so many replicas are whole.
    pub async fn until_whole(&self, replicas: usize) -> Result<(), FleetError> {
        let what = format!("{replicas} whole replicas");
        let whole = self.until(&what, 90, || async {
            (self.whole_replicas().await.len() >= replicas).then_some(())
        });
        whole.await
    }

    /// Waits until an entry says that it is ready.
    pub async fn until_ready(&self, entry: usize) -> Result<(), FleetError> {
        let url = format!("http://{}/readyz", self.addresses.entry(entry));
        let what = format!("entry {entry} is ready");
        let ready = self.until(&what, 60, || async {
            let answer = self.observer.send("GET", &url, None).await;
            matches!(answer, Some((200, _))).then_some(())
        });
        ready.await
    }

    /// Waits until an entry may send requests to so many replicas.
    ///
    /// Engines are whole before the controller has written that they serve, and an outage of the
    /// Object API in between leaves the entries without them until it is over.
    pub async fn until_routed(&self, entry: usize, replicas: usize) -> Result<(), FleetError> {
        let url = format!("http://{}/metrics", self.addresses.entry(entry));
        let what = format!("entry {entry} routes to {replicas} replicas");
        let routed = self.until(&what, 60, || async {
            let (_, body) = self.observer.send("GET", &url, None).await?;
            let lines = body.as_str()?.lines();
            let mut whole = lines.filter_map(|l| l.strip_prefix("celeryhaven_replicas_whole "));
            let whole: usize = whole.next()?.parse().ok()?;
            (whole >= replicas).then_some(())
        });
        routed.await
    }

    /// Everything that the living engine VMs ran.
    pub async fn engine_runs(&self) -> Vec<EngineRun> {
        let mut runs = Vec::new();
        for number in 0..self.shape.engines() {
            let url = format!("http://{}/runs", self.addresses.engine_control(number));
            if let Some((200, body)) = self.observer.send("GET", &url, None).await {
                let vm = &body["vms"][format!("engine-{number}")];
                runs.extend(
                    serde_json::from_value::<Vec<EngineRun>>(vm.clone()).unwrap_or_default(),
                );
            }
        }
        runs
    }

    /// Everything that the plain service ran, on all of its targets.
    pub async fn plain_runs(&self) -> Vec<PlainRun> {
        let mut runs = Vec::new();
        for number in 0..self.shape.plain_targets {
            let url = format!("http://{}/runs", self.addresses.plain(number));
            if let Some((200, body)) = self.observer.send("GET", &url, None).await {
                let ran = serde_json::from_value::<Vec<PlainRun>>(body["runs"].clone());
                runs.extend(ran.unwrap_or_default());
            }
        }
        runs
    }

    /// Sets faults of a stand-in by its `POST /faults`.
    pub async fn set_faults(&self, address: std::net::SocketAddr, faults: Value) -> bool {
        let url = format!("http://{address}/faults");
        matches!(self.observer.send("POST", &url, Some(faults)).await, Some((200, _)))
    }

    /// Sets faults of one engine VM.
    pub async fn set_engine_faults(&self, number: usize, faults: Value) -> bool {
        let order = json!({"vm": format!("engine-{number}"), "fault": {"set": faults}});
        self.set_faults(self.addresses.engine_control(number), order).await
    }
}
