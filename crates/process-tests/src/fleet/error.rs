use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a fleet did not do what was wanted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A file could not be written.
    #[snafu(display("make {} writable: {source}", path.display()))]
    Write {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A process did not start.
    #[snafu(display("{name}: {source}"))]
    Start {
        /// Which.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The certificates could not be made.
    #[snafu(display("{source}"))]
    Certificates {
        /// Why.
        source: celeryhaven_stand_ins::certificates::CertificatesError,
    },
    /// Something was not so in time.
    #[snafu(display("not in time: {what}; look at the logs in {}", folder.display()))]
    Late {
        /// What.
        what: String,
        /// Where the logs are.
        folder: PathBuf,
    },
    /// The operators' command refused.
    #[snafu(display("ctl {arguments} ended with {code:?}: {output}"))]
    Ctl {
        /// What it was asked.
        arguments: String,
        /// Its exit code.
        code: Option<i32>,
        /// What it printed.
        output: String,
    },
}
