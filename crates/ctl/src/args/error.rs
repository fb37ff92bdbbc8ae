use snafu::Snafu;

/// Reasons to reject a command line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ArgsError {
    /// No command was given.
    #[snafu(display("no command given: use plan, confirm, status, audit, drain or check"))]
    NoCommand,
    /// The command is not known.
    #[snafu(display(
        "unknown command `{found}`; use plan, confirm, status, audit, drain or check"
    ))]
    UnknownCommand {
        /// What was found.
        found: String,
    },
    /// An option or argument is missing or invalid.
    #[snafu(display("expected {what}: {source}"))]
    Value {
        /// What was expected.
        what: &'static str,
        /// The cause.
        source: pico_args::Error,
    },
    /// A drain names neither a VM nor a node.
    #[snafu(display("cannot drain `{found}`: use `drain vm NAME` or `drain node NAME`"))]
    DrainKind {
        /// What was found.
        found: String,
    },
    /// Unexpected arguments.
    #[snafu(display("unexpected arguments: {rest}"))]
    Rest {
        /// The unexpected arguments.
        rest: String,
    },
    /// Neither a settings file nor controllers and credentials are given.
    #[snafu(display(
        "no controllers given: use `--settings FILE`, or `--controller`, `--certificate`, \
         `--key` and `--authority`"
    ))]
    NoControllers,
}
