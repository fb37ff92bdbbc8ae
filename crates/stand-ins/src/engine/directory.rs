use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use celeryhaven_types::Map;
use smol::Timer;
use trillium_client::Client;

use crate::engine::{EngineVm, MemberView};

/// Timeout for queries to members in other processes, in milliseconds.
const MEMBER_QUERY_TIMEOUT_MS: u64 = 2_000;

/// Resolves the members of a formation: directly in this process, over HTTP in others.
#[derive(Debug)]
pub(crate) struct Directory {
    hosted: Mutex<Map<SocketAddr, Weak<EngineVm>>>,
    client: Client,
}

impl Directory {
    pub(crate) fn new() -> Self {
        let client = Client::new(trillium_smol::ClientConfig::default());
        Self { hosted: Mutex::default(), client }
    }

    /// Registers the VM at an address. A stopped VM is registered as a dangling reference.
    pub(crate) fn register(&self, address: SocketAddr, vm: Weak<EngineVm>) {
        self.lock().insert(address, vm);
    }

    /// Queries the state of the member at an address.
    pub(crate) async fn fetch_view(&self, address: SocketAddr) -> Option<MemberView> {
        let hosted = self.lock().get(&address).cloned();
        match hosted {
            Some(vm) => vm.upgrade().and_then(|vm: Arc<EngineVm>| vm.member_view()),
            None => self.fetch_remote_view(address).await,
        }
    }

    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    async fn fetch_remote_view(&self, address: SocketAddr) -> Option<MemberView> {
        let query = async {
            let mut conn = self.client.get(format!("http://{address}/member")).await.ok()?;
            let body = conn.response_body().read_bytes().await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        let timeout = async {
            Timer::after(Duration::from_millis(MEMBER_QUERY_TIMEOUT_MS)).await;
            None
        };
        smol::future::or(query, timeout).await
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Weak<EngineVm>>> {
        self.hosted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
