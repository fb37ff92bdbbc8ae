use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryhaven_fair_io::FairConnector;
use celeryhaven_node::{EntryEvent, PollOutcome};
use celeryhaven_settings::EntrySettings;
use celeryhaven_store::VmList;
use celeryhaven_types::{Boot, Fence, MemberReport, VmName};
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use trillium_client::Client;

use crate::control::{Calls, ControlHandle};

/// Maximum size of a member status, in bytes.
const STATUS_BYTES_MAX: u64 = 64 << 10;
/// Maximum size of a VM list, in bytes; enough for some 4,000 VMs.
const VM_LIST_BYTES_MAX: u64 = 4 << 20;

/// Polls members and reads the platform's VM list.
#[derive(Clone)]
pub(crate) struct Reader {
    control: ControlHandle,
    members: Client,
    platform: Client,
    vm_list: SocketAddr,
    poll_timeout: Duration,
    platform_timeout: Duration,
    calls: Calls,
}

impl Reader {
    pub(crate) fn new(control: ControlHandle, settings: &EntrySettings, calls: Calls) -> Self {
        let connector = FairConnector::new();
        Self {
            control,
            calls,
            // One connection per poll: a late answer must not be read as the answer to the next.
            members: Client::new(connector).without_keepalive(),
            platform: Client::new(connector).without_keepalive(),
            vm_list: settings.vm_list,
            poll_timeout: Duration::from_millis(settings.poll_timeout_ms),
            platform_timeout: Duration::from_millis(settings.store_timeout_ms),
        }
    }

    /// Polls the status of a member.
    pub(crate) fn poll(&self, vm: VmName, address: SocketAddr) {
        let reader = self.clone();
        smol::spawn(async move {
            let began = Instant::now();
            let plain = reader.control.view().is_plain(&vm);
            let reading = reader.report(&vm, address, plain);
            let report = within(reader.poll_timeout, reading).await;
            reader.calls.count("poll", report.is_some());
            let outcome = report.map_or(PollOutcome::Failed, PollOutcome::Reported);
            let took_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            reader.control.send_control(EntryEvent::Polled { vm, took_ms, outcome });
        })
        .detach();
    }

    /// Reads the report of a member; for a plain service only checks that it accepts connections.
    ///
    /// The protocol defines no status path for plain services; any request would be a call.
    async fn report(&self, vm: &VmName, address: SocketAddr, plain: bool) -> Option<MemberReport> {
        if plain {
            return TcpStream::connect(address).await.ok().map(|_| reachable_report(vm));
        }
        let url = format!("http://{address}/status");
        get(&self.members, url, STATUS_BYTES_MAX, &self.calls).await
    }

    /// Reads the VM list; a failed read changes nothing.
    pub(crate) fn read_vm_list(&self) {
        let reader = self.clone();
        smol::spawn(async move {
            let url = format!("http://{}/vms", reader.vm_list);
            let reading = get_bytes(&reader.platform, url, VM_LIST_BYTES_MAX, &reader.calls);
            let body = within(reader.platform_timeout, reading).await;
            let list = body.and_then(|body| VmList::parse(&body));
            reader.calls.count("vm_list", list.is_some());
            if let Some(list) = list {
                reader.calls.count_ignored(list.ignored);
                reader.control.send_control(EntryEvent::VmList { entries: list.entries });
            }
        })
        .detach();
    }
}

/// Returns the report of a VM that accepts connections and has no status.
fn reachable_report(vm: &VmName) -> MemberReport {
    MemberReport {
        vm: vm.clone(),
        boot: Boot::default(),
        formation: None,
        fence: Fence::default(),
        running: 0,
        waiting: 0,
        prefill_tokens_queued: 0,
        kv_used_permille: 0,
        tokens_generated: 0,
        load_age_ms: 0,
        adapters_loaded: Vec::new(),
        weights_loaded_bytes: 0,
    }
}

async fn get<T: DeserializeOwned>(
    client: &Client,
    url: String,
    limit: u64,
    calls: &Calls,
) -> Option<T> {
    serde_json::from_slice(&get_bytes(client, url, limit, calls).await?).ok()
}

async fn get_bytes(client: &Client, url: String, limit: u64, calls: &Calls) -> Option<Vec<u8>> {
    let mut conn = client.get(url).await.ok()?;
    let found = conn.status().is_some_and(|status| status.is_success());
    let body = conn.response_body().with_max_len(limit).read_bytes().await.ok()?;
    calls.count_received(body.len());
    found.then_some(body)
}

async fn within<T>(limit: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    work.or(late).await
}
