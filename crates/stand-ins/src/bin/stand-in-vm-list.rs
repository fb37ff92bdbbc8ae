//! Serves the VM list stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use celeryhaven_stand_ins::args::CommandLine;
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::vm_list::{VmLines, VmList};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let address = args.required::<SocketAddr>("--address")?;
    let lag_ms = args.or("--lag-ms", 0)?;
    let file = args.optional::<PathBuf>("--file")?;
    args.finish()?;
    let lines = match file {
        Some(file) => serde_json::from_slice::<VmLines>(&std::fs::read(file)?)?,
        None => VmLines::default(),
    };
    smol::block_on(async {
        let server = Server::bind(address, Arc::new(VmList::new(lag_ms, lines.vms))).await?;
        println!("vm list on {}", server.address());
        smol::future::pending::<()>().await;
        Ok(())
    })
}
