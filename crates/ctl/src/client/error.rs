use celeryhaven_link::LinkError;
use celeryhaven_settings::SettingsError;
use snafu::Snafu;

/// Errors of a command that got no reply from a controller.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CtlError {
    /// A file was rejected.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: SettingsError,
    },
    /// The certificate, its key or the authority cannot be used.
    #[snafu(display("{source}"))]
    Credentials {
        /// The cause.
        source: LinkError,
    },
    /// No controller could be reached.
    #[snafu(display("no controller could be asked, nothing changed: {tried}"))]
    Unreachable {
        /// Each address with its error.
        tried: String,
    },
    /// The link failed after a change was sent.
    #[snafu(display(
        "the controller did not answer: the change may or may not be in force; look at `audit` \
         before trying again: {source}"
    ))]
    OutcomeUnknown {
        /// The cause.
        source: LinkError,
    },
}
