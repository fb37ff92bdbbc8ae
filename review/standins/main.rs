//! Stand-ins of the platform for the cases of the review: a store, servers and requesters in one process,
//! which starts the project's gateways and judges only what requesters and servers have seen.

#![allow(dead_code, reason = "the record prints fields that nothing else reads")]

mod client;
mod gateway;
mod record;
mod server;
mod site;
mod store;
mod wire;

mod cases;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // The script that starts this removes the folder and ends what is left of the processes in `pids`.
    let Some(folder) = std::env::var_os("FOLDER").map(PathBuf::from) else {
        eprintln!("FOLDER must name a temporary folder");
        return ExitCode::from(2);
    };
    let code = match case.as_str() {
        "late-refusal" => cases::late_refusal::run(&folder, &PathBuf::from(record), trouble),
        "long-prompts" => cases::long_prompts::run(&folder, &PathBuf::from(record), trouble),
        "late-accept" => cases::late_accept::run(&folder, &PathBuf::from(record), trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
