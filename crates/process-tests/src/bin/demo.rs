//! Shows the whole path on loopback; ends with 0 only if every check held.

use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use celeryhaven_process_tests::fleet::{CtlOutput, ORGANISATIONS, api_key};
use celeryhaven_process_tests::{Fleet, FleetCaller, FleetShape, History, Tally};
use celeryhaven_stand_ins::caller::{Ask, Caller};
use celeryhaven_types::Map;

/// Callers of each organisation.
const CALLERS: usize = 4;
/// Requests of each caller in each part.
const REQUESTS: usize = 6;

/// Says what is checked, and counts what did not hold.
struct Checks {
    failed: usize,
    start: Instant,
}

impl Checks {
    fn heading(&self, text: &str) {
        println!("\n== {text} ({:.1} s)", self.start.elapsed().as_secs_f64());
    }

    fn check(&mut self, held: bool, what: impl AsRef<str>) {
        println!("[{}] {}", if held { " ok " } else { "FAIL" }, what.as_ref());
        self.failed += usize::from(!held);
    }
}

fn main() -> ExitCode {
    let mut checks = Checks { failed: 0, start: Instant::now() };
    let shown = smol::block_on(show(&mut checks));
    if let Err(error) = &shown {
        println!("[FAIL] {error}");
    }
    checks.heading(&format!("end: {} checks failed", checks.failed));
    match shown.is_ok() && checks.failed == 0 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

async fn show(checks: &mut Checks) -> Result<(), Box<dyn Error>> {
    checks.heading("start: stand-ins, 3 entries, 3 controllers");
    let mut fleet = Fleet::start(FleetShape::new())?;
    println!("{} processes, logs in {}", fleet.names().len(), fleet.folder().display());
    declare(checks, &fleet).await?;
    serve(checks, &fleet).await;
    refuse(checks, &fleet).await;
    let updates = lose_member(checks, &mut fleet).await?;
    let later = lose_entry(checks, &mut fleet).await?;
    check_runs(checks, &fleet, &[updates, later].concat()).await;
    show_operator(checks, &fleet).await;
    let ended = fleet.ended();
    let unexpected = ended.iter().filter(|line| !line.contains("signal: 9")).count();
    checks.check(unexpected == 0, format!("no process ended by itself {ended:?}"));
    Ok(())
}

async fn declare(checks: &mut Checks, fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    checks.heading("an operator plans and confirms");
    let intent = fleet.folder().join("intent.yaml").display().to_string();
    let checked = fleet.ctl(&["check", &intent]).await;
    checks.check(checked.code == Some(0), "the intent passes `check` without a server");
    let plan = fleet.declare().await?;
    let id = plan["planned"]["id"].as_str().unwrap_or_default().to_owned();
    print!("{}", indented(&serde_json::to_string_pretty(&plan["planned"]["effects"])?));
    let again = fleet.ctl_as("karlis", &["confirm", &id]).await;
    println!("{}", indented(&again.errors));
    checks.check(again.code != Some(0), "a second operator cannot confirm the same plan");
    fleet.until_whole(fleet.shape().replicas as usize).await?;
    for number in 0..fleet.shape().nodes {
        fleet.until_ready(number).await?;
    }
    checks.check(true, "every replica is whole and every entry ready");
    Ok(())
}

async fn serve(checks: &mut Checks, fleet: &Fleet) {
    checks.heading("two organisations ask");
    let addresses = FleetCaller::new(fleet, ORGANISATIONS[0]).addresses().await;
    println!("addresses to use: {addresses:?}");
    checks.check(addresses.len() == fleet.shape().nodes, "every entry is in the address answer");
    let histories = load(fleet, "calm").await;
    report(checks, &histories);
    let caller = FleetCaller::new(fleet, ORGANISATIONS[1]);
    let looked_up = [caller.look_up("lots/17").await];
    checks.check(Tally::new(&looked_up).answered == 1, "a plain call is passed through");
}

async fn refuse(checks: &mut Checks, fleet: &Fleet) {
    checks.heading("what is refused");
    let entry = fleet.addresses().entry(0);
    let ask = |model: &str| Ask::new(model, "refused", 4);
    let stranger = Caller::new("nobody's key").complete(entry, &ask("quote-draft")).await;
    let told = (stranger.status, stranger.not_run());
    checks.check(told == (401, true), format!("a stranger's key: {}", stranger.text));
    let own = Caller::new(api_key(ORGANISATIONS[0]));
    let unknown = own.complete(entry, &ask("no-such-model")).await;
    let told = (unknown.status, unknown.not_run());
    checks.check(told == (404, true), format!("an unknown model: {}", unknown.text));
}

async fn lose_member(
    checks: &mut Checks,
    fleet: &mut Fleet,
) -> Result<Vec<History>, Box<dyn Error>> {
    checks.heading("a member VM dies under load");
    let whole = fleet.whole_replicas().await;
    let (replica, members) = whole.first().cloned().ok_or("no replica is whole")?;
    let callers = spawn_load(fleet, "a member dies");
    smol::Timer::after(Duration::from_millis(300)).await;
    let victim = format!("engine-{}", members[members.len() - 1]);
    println!("{victim}, a member of {replica}, is killed");
    fleet.process(&victim).ok_or("no such process")?.kill();
    let updates = update(fleet, "member").await;
    report(checks, &join(callers).await);
    fleet.until_whole(fleet.shape().replicas as usize).await?;
    let mended = fleet.whole_replicas().await;
    println!("whole again: {mended:?}");
    let victim_serves =
        mended.iter().any(|(_, numbers)| numbers.contains(&members[members.len() - 1]));
    checks.check(!victim_serves, "the spare VM took the dead one's place");
    Ok(updates)
}

async fn lose_entry(
    checks: &mut Checks,
    fleet: &mut Fleet,
) -> Result<Vec<History>, Box<dyn Error>> {
    checks.heading("an entry dies under load");
    let callers = spawn_load(fleet, "an entry dies");
    smol::Timer::after(Duration::from_millis(300)).await;
    println!("entry-0 is killed");
    fleet.process("entry-0").ok_or("no such process")?.kill();
    let updates = update(fleet, "entry").await;
    report(checks, &join(callers).await);
    Ok(updates)
}

/// Changes lots, each with a key of its own.
async fn update(fleet: &Fleet, name: &str) -> Vec<History> {
    let mut histories = Vec::new();
    for number in 0..10 {
        let caller = FleetCaller::new(fleet, ORGANISATIONS[number % 2]);
        let caller = caller.with_patience(Duration::from_secs(5));
        histories.push(caller.update(&format!("{name} lot {number}")).await);
    }
    histories
}

async fn check_runs(checks: &mut Checks, fleet: &Fleet, updates: &[History]) {
    checks.heading("what the targets ran");
    let mut runs = Map::<String, usize>::default();
    for run in fleet.plain_runs().await.iter().filter(|run| run.method == "POST") {
        *runs.entry(run.body.clone()).or_default() += 1;
    }
    println!("{:?}", Tally::new(updates));
    checks.check(runs.values().all(|times| *times == 1), "no update ran twice");
    let answered = updates.iter().filter(|update| update.answered());
    let lost = answered.filter(|update| !runs.contains_key(&update.marker)).count();
    checks.check(lost == 0, "every answered update ran");
    let told = updates.iter().filter(|update| update.never_run());
    let lied = told.filter(|update| runs.contains_key(&update.marker)).count();
    checks.check(lied == 0, "no update ran whose caller was told that it was not run");
    let answered = updates.iter().filter(|update| update.answered()).count();
    checks.check(answered > 0, format!("{answered} of {} updates answered", updates.len()));
}

async fn show_operator(checks: &mut Checks, fleet: &Fleet) {
    checks.heading("what the operator sees");
    for command in ["status", "audit"] {
        let output = fleet.ctl(&[command]).await;
        println!("$ celeryhaven-ctl {command}\n{}", indented(&shown(&output)));
        checks.check(output.code == Some(0), format!("`{command}` answers"));
    }
}

async fn load(fleet: &Fleet, name: &str) -> Vec<History> {
    join(spawn_load(fleet, name)).await
}

fn spawn_load(fleet: &Fleet, name: &str) -> Vec<smol::Task<Vec<History>>> {
    let callers = (0..CALLERS * ORGANISATIONS.len()).map(|number| {
        let organisation = ORGANISATIONS[number % ORGANISATIONS.len()];
        let data_centre = fleet.shape().data_centre(number);
        let caller = FleetCaller::new(fleet, organisation).with_data_centre(data_centre);
        let prefix = format!("{organisation} {name} caller {number}");
        smol::spawn(async move { caller.complete_many(&prefix, REQUESTS, 40).await })
    });
    callers.collect()
}

async fn join(callers: Vec<smol::Task<Vec<History>>>) -> Vec<History> {
    let mut histories = Vec::new();
    for caller in callers {
        histories.extend(caller.await);
    }
    histories
}

fn report(checks: &mut Checks, histories: &[History]) {
    let tally = Tally::new(histories);
    println!("{tally:?}");
    let all = tally.answered == tally.requests;
    checks.check(all, format!("{} of {} answered in the end", tally.answered, tally.requests));
    checks.check(tally.foreign == 0, "nobody got another's answer, or a wrong one");
}

fn shown(output: &CtlOutput) -> String {
    format!("{}{}", output.text, output.errors)
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("    {line}\n")).collect()
}
