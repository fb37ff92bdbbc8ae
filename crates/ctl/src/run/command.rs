use std::io::Write;

use celeryhaven_settings::{OperatorSettings, load_intent};
use celeryhaven_types::{OperatorReply, OperatorRequest};
use snafu::ResultExt;

use crate::args::{Args, Command};
use crate::check::check_file;
use crate::client::error::FileSnafu;
use crate::client::{CtlError, ask};
use crate::output::{ExitStatus, report, show};

/// Executes a command, prints its result and returns its exit code.
pub fn run(args: &Args) -> ExitStatus {
    match execute(args) {
        Ok(Outcome::Text(text)) => print(&text, ExitStatus::Done),
        Ok(Outcome::Reply(reply)) => {
            let status = ExitStatus::from(&reply);
            if let OperatorReply::Refused(refusal) = &reply {
                eprintln!("celeryhaven-ctl: {refusal}");
            }
            match (args.json, &reply) {
                (true, reply) => print(&report(reply), status),
                (false, OperatorReply::Refused(_)) => status,
                (false, reply) => print(&show(reply), status),
            }
        }
        Err(error) => {
            eprintln!("celeryhaven-ctl: {error}");
            ExitStatus::from(&error)
        }
    }
}

enum Outcome {
    Text(String),
    Reply(OperatorReply),
}

fn execute(args: &Args) -> Result<Outcome, CtlError> {
    let request = match &args.command {
        Command::Check { file, kind } => {
            let kind = check_file(file, *kind).context(FileSnafu)?.as_str();
            let text = match args.json {
                true => format!("{{\"accepted\": {{\"file\": {file:?}, \"kind\": \"{kind}\"}}}}\n"),
                false => format!("{file}: accepted as {kind}\n"),
            };
            return Ok(Outcome::Text(text));
        }
        Command::Plan { file } => {
            OperatorRequest::Plan { intent: load_intent(file).context(FileSnafu)? }
        }
        Command::Ask(request) => request.clone(),
    };
    let settings = match (&args.settings, &args.flags) {
        (_, Some(flags)) => flags.clone(),
        (file, None) => {
            OperatorSettings::load(file.as_deref().unwrap_or_default()).context(FileSnafu)?
        }
    };
    smol::block_on(ask(&settings, &request)).map(Outcome::Reply)
}

fn print(text: &str, status: ExitStatus) -> ExitStatus {
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => status,
        Err(_) => ExitStatus::Output,
    }
}
