use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use celeryhaven_derives::state;
use celeryhaven_settings::OperatorSettings;
use celeryhaven_types::{DataCentreName, NodeName, OperatorRequest, PlanId, VmName};
use pico_args::Arguments;
use snafu::{OptionExt, ResultExt, ensure};

use crate::args::error::{
    DrainKindSnafu, NoCommandSnafu, NoControllersSnafu, RestSnafu, UnknownCommandSnafu, ValueSnafu,
};
use crate::args::{ArgsError, Command};

/// Default timeout of a request, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Default number of changes that `audit` shows.
const DEFAULT_AUDIT_COUNT: u32 = 20;

state! {
    /// Parsed command-line arguments.
    pub struct Args {
        /// The command.
        pub command: Command,
        /// Whether to print JSON.
        pub json: bool,
        /// Path of the settings file, if given.
        pub settings: Option<String>,
        /// Controllers and credentials, if given as flags.
        pub flags: Option<OperatorSettings>,
    }
}

impl Args {
    /// Parses the command line of this process; `None` if it requests help.
    pub fn from_env() -> Result<Option<Self>, ArgsError> {
        Self::parse(Arguments::from_env())
    }

    /// Parses a command line without the program's name; `None` if it requests help.
    ///
    /// ```
    /// use celeryhaven_ctl::{Args, Command};
    /// let args = Args::from_words(["--json", "check", "intent.yaml"]).unwrap().unwrap();
    /// assert!(args.json);
    /// assert!(matches!(args.command, Command::Check { .. }));
    /// ```
    pub fn from_words<I>(words: I) -> Result<Option<Self>, ArgsError>
    where
        I: IntoIterator<Item: Into<OsString>>,
    {
        Self::parse(Arguments::from_vec(words.into_iter().map(Into::into).collect()))
    }

    fn parse(mut arguments: Arguments) -> Result<Option<Self>, ArgsError> {
        if arguments.contains(["-h", "--help"]) {
            return Ok(None);
        }
        let json = arguments.contains("--json");
        let settings = arguments
            .opt_value_from_str("--settings")
            .context(ValueSnafu { what: "`--settings FILE`" })?;
        let flags = flags(&mut arguments)?;
        let command = command(&mut arguments)?;
        let rest = arguments.finish();
        let rest: Vec<_> = rest.iter().map(|text| text.to_string_lossy()).collect();
        ensure!(rest.is_empty(), RestSnafu { rest: rest.join(" ") });
        let needs_server = !matches!(command, Command::Check { .. });
        ensure!(!needs_server || settings.is_some() || flags.is_some(), NoControllersSnafu);
        Ok(Some(Self { command, json, settings, flags }))
    }
}

fn flags(arguments: &mut Arguments) -> Result<Option<OperatorSettings>, ArgsError> {
    let controllers: Vec<SocketAddr> = arguments
        .values_from_str("--controller")
        .context(ValueSnafu { what: "`--controller` as an IP address and port" })?;
    let mut file = |option: &'static str| -> Result<Option<PathBuf>, ArgsError> {
        arguments.opt_value_from_str(option).context(ValueSnafu { what: option })
    };
    let files = (file("--certificate")?, file("--key")?, file("--authority")?);
    let timeout_ms = arguments
        .opt_value_from_str("--timeout-ms")
        .context(ValueSnafu { what: "`--timeout-ms` as a whole number" })?
        .unwrap_or(DEFAULT_TIMEOUT_MS);
    match files {
        (Some(certificate_file), Some(key_file), Some(authority_file))
            if !controllers.is_empty() =>
        {
            Ok(Some(OperatorSettings {
                controllers,
                certificate_file,
                key_file,
                authority_file,
                timeout_ms,
            }))
        }
        _ => Ok(None),
    }
}

fn command(arguments: &mut Arguments) -> Result<Command, ArgsError> {
    let name = arguments.subcommand().context(ValueSnafu { what: "a command" })?;
    match name.context(NoCommandSnafu)?.as_str() {
        "plan" => Ok(Command::Plan { file: operand(arguments, "the intent file after `plan`")? }),
        "confirm" => confirm(arguments),
        "status" => Ok(Command::Ask(OperatorRequest::Status)),
        "audit" => {
            let last = arguments
                .opt_value_from_str("--last")
                .context(ValueSnafu { what: "`--last` as a whole number" })?;
            let last = last.unwrap_or(DEFAULT_AUDIT_COUNT);
            Ok(Command::Ask(OperatorRequest::Audit { last }))
        }
        "drain" => drain(arguments),
        "check" => {
            let kind = arguments.opt_value_from_str("--kind").context(ValueSnafu {
                what: "`--kind` as intent, entry, controller or operator",
            })?;
            Ok(Command::Check { file: operand(arguments, "the file after `check`")?, kind })
        }
        found => UnknownCommandSnafu { found }.fail(),
    }
}

fn confirm(arguments: &mut Arguments) -> Result<Command, ArgsError> {
    let without: Vec<String> = arguments
        .values_from_str("--without")
        .context(ValueSnafu { what: "`--without` as the name of a data centre" })?;
    let without = without.into_iter().map(DataCentreName::new).collect();
    let plan = PlanId::new(operand(arguments, "the plan after `confirm`")?);
    Ok(Command::Ask(OperatorRequest::Confirm { plan, without }))
}

fn drain(arguments: &mut Arguments) -> Result<Command, ArgsError> {
    let drained = !arguments.contains("--undo");
    let kind = operand(arguments, "`vm` or `node` after `drain`")?;
    let name = operand(arguments, "the name to drain")?;
    match kind.as_str() {
        "vm" => Ok(Command::Ask(OperatorRequest::DrainVm { vm: VmName::new(name), drained })),
        "node" => {
            Ok(Command::Ask(OperatorRequest::DrainNode { node: NodeName::new(name), drained }))
        }
        found => DrainKindSnafu { found }.fail(),
    }
}

fn operand(arguments: &mut Arguments, what: &'static str) -> Result<String, ArgsError> {
    arguments.free_from_str().context(ValueSnafu { what })
}
