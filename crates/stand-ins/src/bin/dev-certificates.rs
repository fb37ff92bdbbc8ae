//! Writes a certificate authority, and certificates for nodes and operators, into a folder.

use std::path::PathBuf;

use celeryhaven_stand_ins::args::CommandLine;
use celeryhaven_stand_ins::certificates::write_certificates;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let folder = args.required::<PathBuf>("--folder")?;
    let nodes = args.repeated::<String>("--node")?;
    let operators = args.repeated::<String>("--operator")?;
    args.finish()?;
    write_certificates(&folder, &nodes, &operators)?;
    Ok(())
}
