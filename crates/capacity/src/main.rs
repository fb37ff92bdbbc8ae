//! Prints the control cost of a node at several fleet sizes, and linear fits of the costs.

use std::process::ExitCode;

use celeryhaven_capacity::{Figures, Fleet, FleetSize, Line, MessageKind};

/// The usage text for `--help` and for errors in the command line.
const USAGE: &str = "\
usage: celeryhaven-capacity [--nodes N,N,...] [--seconds N] [--settle-seconds N] [--poll-ms N]

  --nodes           sizes to measure; default 8,32,100,340
  --seconds         virtual time measured at each size; default 20
  --settle-seconds  virtual time before that; default 60
  --poll-ms         interval of polls; default 500

Exit status: 0, or 2 on a mistake.";

/// Nodes of the planned fleet size.
const PLANNED_NODES: f64 = 340.0;

const KINDS: [MessageKind; 3] =
    [MessageKind::Membership, MessageKind::Spread, MessageKind::Observation];

/// A figure derived from a measurement.
type Figure = fn(&Figures) -> f64;

struct Options {
    nodes: Vec<usize>,
    seconds: u64,
    settle_seconds: u64,
    poll_ms: u64,
}

fn main() -> ExitCode {
    match options() {
        Ok(Some(options)) => {
            run(&options);
            ExitCode::SUCCESS
        }
        Ok(None) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Result<Option<Options>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let mut value = |name: &'static str| -> Result<Option<String>, String> {
        arguments.opt_value_from_str(name).map_err(|error| error.to_string())
    };
    let nodes = value("--nodes")?.unwrap_or_else(|| "8,32,100,340".into());
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("invalid number: {text}"));
    let seconds = value("--seconds")?.map_or(Ok(20), |text| number(&text))?;
    let settle_seconds = value("--settle-seconds")?.map_or(Ok(60), |text| number(&text))?;
    let poll_ms = value("--poll-ms")?.map_or(Ok(500), |text| number(&text))?;
    let nodes = nodes.split(',').map(|part| number(part).map(|n| n as usize));
    let nodes = nodes.collect::<Result<Vec<_>, _>>()?;
    Ok(Some(Options { nodes, seconds, settle_seconds, poll_ms }))
}

fn run(options: &Options) {
    println!(
        "nodes ready  memb/s  memb B/s  spread/s  spread B/s  obs/s   obs B/s  all B/s  \
         polls/s  store/s(fleet)  control  us/request  MiB/node"
    );
    let measured: Vec<Figures> =
        options.nodes.iter().map(|nodes| measure(*nodes, options)).collect();
    let lines: [(&str, Figure); 6] = [
        ("bytes/s of a node", Figures::bytes_per_second),
        ("share of a core for control", Figures::control_share),
        ("us of decisions for a request", Figures::request_cost_us),
        ("polls/s of a node", Figures::polls_per_second),
        ("Object API calls/s of the fleet", Figures::store_calls_per_second),
        ("bytes of memory of a node", |figures| figures.node_bytes),
    ];
    for (name, figure) in lines {
        let points: Vec<_> = measured.iter().map(|one| (one.nodes as f64, figure(one))).collect();
        let line = Line::fit(&points);
        println!(
            "{name}: {:.4} + {:.6} for each node, residual {:.1} %, at 340 nodes {:.4}",
            line.at_zero,
            line.slope,
            line.residual * 100.0,
            line.at(PLANNED_NODES)
        );
    }
}

fn measure(nodes: usize, options: &Options) -> Figures {
    let bytes_before = resident_bytes();
    let size = FleetSize::part(nodes).with_poll_interval_ms(options.poll_ms);
    let mut fleet = Fleet::new(size, 5);
    fleet.run(options.settle_seconds);
    fleet.load();
    fleet.run(10);
    let node_bytes = (resident_bytes() - bytes_before).max(0.0) / nodes as f64;
    let figures = Figures { node_bytes, ..fleet.run(options.seconds) };
    print!("{nodes:5} {:5}", fleet.ready());
    for kind in KINDS {
        let (messages, bytes) = figures.sent_per_second(kind);
        print!("  {messages:7.1} {bytes:8.0}");
    }
    println!(
        "  {:7.0}  {:7.1}  {:10.1}  {:6.3} %  {:8.1}  {:7.2}",
        figures.bytes_per_second(),
        figures.polls_per_second(),
        figures.store_calls_per_second(),
        figures.control_share() * 100.0,
        figures.request_cost_us(),
        figures.node_bytes / f64::from(1 << 20)
    );
    figures
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * rustix::param::page_size() as f64
}
