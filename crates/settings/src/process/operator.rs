use std::net::SocketAddr;
use std::path::PathBuf;

use crate::error::SettingsError;
use crate::field::Kind;
use crate::process::settings_macro::settings;
use crate::yaml::Document;

settings! {
    /// Settings of the operator command.
    pub struct OperatorSettings checked by check_controllers {
        /// Operator addresses of controllers, tried in this order.
        controllers: Vec<SocketAddr> = Kind::Addresses;
        /// The operator's certificate, in PEM.
        certificate_file: PathBuf = Kind::File;
        /// The certificate's private key, in PEM.
        key_file: PathBuf = Kind::File;
        /// The certificate of the fleet's certificate authority, in PEM.
        authority_file: PathBuf = Kind::File;
        /// Timeout of a request to a controller.
        timeout_ms: u64 = Kind::number(100, 600_000, 10_000);
    }
}

fn check_controllers(
    settings: &OperatorSettings,
    document: &Document,
) -> Result<(), SettingsError> {
    match settings.controllers.is_empty() {
        true => Err(document.value_error("controllers", "at least one IP address and port")),
        false => Ok(()),
    }
}
