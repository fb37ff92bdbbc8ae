//! Prints a summary of gateway logs, or all lines about one request.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufReader};
use std::process::ExitCode;

use celeryhaven_explain::{Log, RecoveryReport, RequestTable, TargetTable, request_timeline};
use pico_args::Arguments;
use snafu::{ResultExt, Snafu};

/// Printed for `--help`.
const USAGE: &str = "\
usage: celeryhaven-explain [--request ID] [--span-s N] [--load-ms N] [FILE]...

Reads gateway logs, one JSON object per line, from files or from standard input; text before the first
brace of a line is ignored. Prints the outcomes of requests, the recovery times after losses and the
states of targets.

  --request  print only the lines about this request and its targets
  --span-s   seconds per row; default 10
  --load-ms  time to load a model from the weights store, in milliseconds; default 16000

Exit status: 0 on success, 1 if a log cannot be read, 2 on invalid arguments.";

#[derive(Debug, Snafu)]
enum ExplainError {
    #[snafu(display("{source}; see --help"))]
    Option { source: pico_args::Error },
    #[snafu(display("cannot read {file}: {source}; check that the file exists and is readable"))]
    Read { file: String, source: io::Error },
}

struct Options {
    request: Option<String>,
    span_s: u64,
    load_ms: u64,
    files: Vec<OsString>,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match options(args).and_then(|options| explain(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celeryhaven-explain: {error}");
            match error {
                ExplainError::Option { .. } => ExitCode::from(2),
                ExplainError::Read { .. } => ExitCode::FAILURE,
            }
        }
    }
}

fn options(mut args: Arguments) -> Result<Options, ExplainError> {
    Ok(Options {
        request: args.opt_value_from_str("--request").context(OptionSnafu)?,
        span_s: args.opt_value_from_str("--span-s").context(OptionSnafu)?.unwrap_or(10),
        load_ms: args.opt_value_from_str("--load-ms").context(OptionSnafu)?.unwrap_or(16_000),
        files: args.finish(),
    })
}

fn explain(options: &Options) -> Result<(), ExplainError> {
    let log = read(&options.files)?;
    if let Some(request) = &options.request {
        request_timeline(&log, request).iter().for_each(|line| println!("{}", line.text));
        return Ok(());
    }
    println!("{}", RequestTable::new(&log, options.span_s));
    println!("{}", RecoveryReport::new(&log));
    print!("{}", TargetTable::new(&log, options.span_s, options.load_ms));
    if log.skipped > 0 {
        eprintln!("skipped {} lines that are not gateway log lines", log.skipped);
    }
    Ok(())
}

fn read(files: &[OsString]) -> Result<Log, ExplainError> {
    if files.is_empty() {
        return Log::read(io::stdin().lock()).context(ReadSnafu { file: "standard input" });
    }
    let mut log = Log::default();
    for path in files {
        let file = path.to_string_lossy().into_owned();
        let opened = File::open(path).and_then(|source| Log::read(BufReader::new(source)));
        let file_log = opened.context(ReadSnafu { file })?;
        log.lines.extend(file_log.lines);
        log.skipped += file_log.skipped;
    }
    log.lines.sort_by_key(|line| line.at_ms);
    Ok(log)
}
