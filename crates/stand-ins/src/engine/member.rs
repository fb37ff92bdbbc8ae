use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use crate::engine::EngineVm;
use crate::weights::WeightsRead;

/// Delay before a failed read from the weights store is retried, in milliseconds.
const WEIGHTS_RETRY_MS: u64 = 200;

impl EngineVm {
    /// Loads weights and monitors the other members until the VM stops.
    pub(crate) async fn run_member(self: Arc<Self>) {
        let poll_interval = Duration::from_millis(self.settings().member_poll_ms);
        let loading = async {
            loop {
                if !self.load_piece().await {
                    Timer::after(poll_interval).await;
                }
            }
        };
        let watching = async {
            loop {
                self.watch_members().await;
                Timer::after(poll_interval).await;
            }
        };
        smol::future::or(loading, watching).await;
    }

    /// Loads the next piece of the weights. Returns `false` if there is none.
    async fn load_piece(&self) -> bool {
        let Some((version, bytes)) = self.next_piece() else {
            return false;
        };
        let Some(store) = self.settings().weights else {
            self.record_loaded_piece(&version, bytes);
            return true;
        };
        let url = format!("http://{store}/read");
        let body = serde_json::json!(WeightsRead { bytes }).to_string();
        let answer = self.client().post(url).with_body(body).await;
        match answer.map(|conn| conn.status()) {
            Ok(Some(status)) if status.is_success() => self.record_loaded_piece(&version, bytes),
            _ => {
                Timer::after(Duration::from_millis(WEIGHTS_RETRY_MS)).await;
            }
        }
        true
    }

    async fn watch_members(&self) {
        let Some(members) = self.members() else { return };
        let mut views = Vec::with_capacity(members.len());
        for member in members {
            views.push(self.fetch_view(member).await);
        }
        self.apply_member_views(&views);
    }
}
