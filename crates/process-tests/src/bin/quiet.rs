//! Measures what control costs real processes while no caller asks: one fleet of each size.

use std::error::Error;
use std::time::Duration;

use celeryhaven_process_tests::{Fleet, FleetShape};
use celeryhaven_stand_ins::caller::Caller;
use smol::Timer;

/// Entry nodes of each fleet that is measured; each has as many replicas as in two years.
const SIZES: [usize; 3] = [3, 6, 9];
/// Replicas in two years for each entry node: 840 to 340.
const REPLICAS_PER_NODE: f64 = 840.0 / 340.0;
/// Time before the measurement, for leases, links and the first reports.
const SETTLE: Duration = Duration::from_secs(10);
/// Time measured.
const MEASURED: Duration = Duration::from_secs(15);

/// What one process has used up to a moment.
#[derive(Clone, Copy, Default)]
struct Used {
    cpu_s: f64,
    control_bytes: f64,
    resident_bytes: f64,
}

/// Usage: `quiet [POLL_MS]`, with the interval of polls; without it the default of the settings.
fn main() -> Result<(), Box<dyn Error>> {
    let poll_ms = std::env::args().nth(1).map(|text| text.parse::<u64>()).transpose()?;
    let settings = poll_ms
        .map(|poll_ms| format!("poll_interval_ms: {poll_ms}\nreport_life_ms: {}\n", 3 * poll_ms));
    let settings = settings.unwrap_or_default();
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load average {}", load.split(' ').next().unwrap_or("unknown"));
    println!(
        "nodes replicas  entry: core %  peer B/s  MiB   controller: core %  MiB   (mean of a node)"
    );
    smol::block_on(async {
        for nodes in SIZES {
            measure(nodes, &settings).await?;
        }
        Ok(())
    })
}

async fn measure(nodes: usize, entry_settings: &str) -> Result<(), Box<dyn Error>> {
    let replicas = (nodes as f64 * REPLICAS_PER_NODE).round() as usize;
    let engines_per_domain = replicas.div_ceil(3) * 4;
    let replicas = u32::try_from(replicas)?;
    let entry_settings = entry_settings.to_owned();
    let shape = FleetShape {
        nodes,
        replicas,
        engines_per_domain,
        entry_settings,
        entry_pace: String::new(),
        controller_pace: String::new(),
        ..FleetShape::new()
    };
    let mut fleet = Fleet::start(shape)?;
    fleet.declare().await?;
    fleet.until_whole(replicas as usize).await?;
    for number in 0..nodes {
        fleet.until_ready(number).await?;
    }
    Timer::after(SETTLE).await;
    let before = used(&mut fleet, nodes).await;
    Timer::after(MEASURED).await;
    let after = used(&mut fleet, nodes).await;
    let share = |now: &Used, then: &Used| {
        (now.cpu_s - then.cpu_s) / MEASURED.as_secs_f64() / nodes as f64 * 100.0
    };
    let bytes = (after[0].control_bytes - before[0].control_bytes) / MEASURED.as_secs_f64();
    let mib = |used: &Used| used.resident_bytes / nodes as f64 / f64::from(1 << 20);
    println!(
        "{nodes:5} {replicas:8}  {:13.2}  {:8.0}  {:4.1}   {:18.2}  {:4.1}",
        share(&after[0], &before[0]),
        bytes / nodes as f64,
        mib(&after[0]),
        share(&after[1], &before[1]),
        mib(&after[1]),
    );
    Ok(())
}

/// What all entries, and all controllers, have used.
async fn used(fleet: &mut Fleet, nodes: usize) -> [Used; 2] {
    let mut sums = [Used::default(); 2];
    for number in 0..nodes {
        for (sum, program) in sums.iter_mut().zip(["entry", "controller"]) {
            if let Some(process) = fleet.process(&format!("{program}-{number}")) {
                sum.cpu_s += process.cpu_time().unwrap_or_default().as_secs_f64();
                sum.resident_bytes += resident_bytes(process.id());
            }
        }
        sums[0].control_bytes += control_bytes(fleet, number).await;
    }
    sums
}

/// Bytes that an entry has sent to its peers, from its metrics.
async fn control_bytes(fleet: &Fleet, number: usize) -> f64 {
    let caller = Caller::new("nobody");
    let url = format!("http://{}/metrics", fleet.addresses().entry(number));
    let answer = caller.send("GET", &url, None).await;
    let text = answer.and_then(|(_, body)| body.as_str().map(str::to_owned)).unwrap_or_default();
    let lines = text.lines().filter(|line| line.contains("control_bytes"));
    let sent = lines.filter(|line| line.contains("\"sent\""));
    sent.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn resident_bytes(process: u32) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * rustix::param::page_size() as f64
}
