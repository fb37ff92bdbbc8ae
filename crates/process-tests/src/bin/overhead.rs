//! Measures what an entry adds to a request: one run, side by side with the engine itself.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryhaven_process_tests::fleet::{MODEL, ORGANISATIONS, api_key};
use celeryhaven_process_tests::{Fleet, FleetShape};
use celeryhaven_stand_ins::caller::{Ask, Caller, Reply};
use hdrhistogram::Histogram;

/// Pairs of requests measured one after another.
const PAIRS: usize = 600;
/// Pairs run first and left out, until connections and caches are warm.
const WARM_UP: usize = 50;
/// Tokens of each answer.
const TOKENS: u32 = 32;
/// Callers that ask side by side when processor time is measured.
const CALLERS: usize = 64;
/// Requests of each of them.
const REQUESTS_PER_CALLER: usize = 60;

/// Times of one way to the engine, in microseconds.
struct Times {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self { first_token: Histogram::new(3)?, total: Histogram::new(3)? })
    }

    fn take(&mut self, reply: &Reply) -> Result<(), Box<dyn Error>> {
        if !reply.whole() {
            return Err(format!("a request was not answered: {reply:?}").into());
        }
        self.first_token.record(reply.first_token_us)?;
        self.total.record(reply.total_us)?;
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let shape = FleetShape {
        nodes: 1,
        data_centres: 1,
        engines_per_domain: 4,
        replicas: 1,
        slots: 128,
        decode_us: 1_000,
        ..FleetShape::new()
    };
    smol::block_on(async {
        let mut fleet = Fleet::start(shape)?;
        fleet.declare().await?;
        fleet.until_whole(1).await?;
        fleet.until_ready(0).await?;
        let entry = fleet.addresses().entry(0);
        let engine = rank_zero(&fleet).await?;
        let (direct, through) = measure_pairs(engine, entry).await?;
        print_table(&direct, &through);
        measure_processor(&mut fleet, entry).await
    })
}

/// The member that takes the requests: the one that is rank 0 admits, the others refuse.
async fn rank_zero(fleet: &Fleet) -> Result<SocketAddr, Box<dyn Error>> {
    let caller = Caller::new("direct");
    for number in 0..fleet.shape().engines() {
        let address = fleet.addresses().engine(number);
        let ask = Ask::new(MODEL, "who", 1).with_header("x-request-id", "who");
        if caller.complete(address, &ask).await.whole() {
            return Ok(address);
        }
    }
    Err("no engine takes requests".into())
}

async fn measure_pairs(
    engine: SocketAddr,
    entry: SocketAddr,
) -> Result<(Times, Times), Box<dyn Error>> {
    let caller = Caller::new(api_key(ORGANISATIONS[0])).with_kept_connections();
    let (mut direct, mut through) = (Times::new()?, Times::new()?);
    for number in 0..WARM_UP + PAIRS {
        let ask = Ask::new(MODEL, format!("pair {number}"), TOKENS);
        let ask_engine = ask.clone().with_header("x-request-id", format!("direct-{number}"));
        let by_engine = caller.complete(engine, &ask_engine).await;
        let by_entry = caller.complete(entry, &ask).await;
        if number >= WARM_UP {
            direct.take(&by_engine)?;
            through.take(&by_entry)?;
        }
    }
    Ok((direct, through))
}

fn print_table(direct: &Times, through: &Times) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    println!("{cores} cores, load average {}", load.split(' ').next().unwrap_or("unknown"));
    println!("{PAIRS} pairs, one request at a time, {TOKENS} tokens streamed, 1 ms a step");
    println!(
        "{:<14} {:>4} {:>11} {:>11} {:>12} {:>7}",
        "", "", "engine us", "entry us", "difference", "ratio"
    );
    let rows = [
        ("first token", &direct.first_token, &through.first_token),
        ("whole answer", &direct.total, &through.total),
    ];
    for (name, direct, through) in rows {
        for quantile in [0.5, 0.99] {
            let (a, b) = (direct.value_at_quantile(quantile), through.value_at_quantile(quantile));
            println!(
                "{name:<14} p{:<3} {a:>11} {b:>11} {:>12} {:>7.3}",
                quantile * 100.0,
                b as i64 - a as i64,
                b as f64 / a as f64
            );
        }
    }
}

async fn measure_processor(fleet: &mut Fleet, entry: SocketAddr) -> Result<(), Box<dyn Error>> {
    let cpu = |fleet: &mut Fleet| {
        fleet.process("entry-0").and_then(|process| process.cpu_time()).ok_or("the entry ended")
    };
    let (cpu_before, start) = (cpu(fleet)?, Instant::now());
    let callers = (0..CALLERS).map(|number| smol::spawn(ask_many(entry, number)));
    let mut answered = 0;
    for caller in callers.collect::<Vec<_>>() {
        answered += caller.await;
    }
    let elapsed = start.elapsed();
    let used = cpu(fleet)?.saturating_sub(cpu_before);
    print_processor(answered, elapsed, used);
    match answered == CALLERS * REQUESTS_PER_CALLER {
        true => Ok(()),
        false => Err("not every request was answered".into()),
    }
}

async fn ask_many(entry: SocketAddr, number: usize) -> usize {
    let caller = Caller::new(api_key(ORGANISATIONS[number % 2])).with_kept_connections();
    let mut answered = 0;
    for request in 0..REQUESTS_PER_CALLER {
        let ask = Ask::new(MODEL, format!("caller {number} request {request}"), TOKENS);
        answered += usize::from(caller.complete(entry, &ask).await.whole());
    }
    answered
}

fn print_processor(answered: usize, elapsed: Duration, used: Duration) {
    let (elapsed_s, used_s) = (elapsed.as_secs_f64(), used.as_secs_f64());
    let requests = answered as f64;
    println!("{answered} requests by {CALLERS} callers side by side, {TOKENS} tokens streamed");
    println!("requests/s            {:>10.0}", requests / elapsed_s);
    println!("entry processor, s    {used_s:>10.2} in {elapsed_s:.2} s");
    println!("requests/s per core   {:>10.0}", requests / used_s);
    println!("tokens/s per core     {:>10.0}", requests * f64::from(TOKENS) / used_s);
}
