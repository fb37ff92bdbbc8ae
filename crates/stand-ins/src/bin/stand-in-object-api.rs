//! Serves the Object API stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_stand_ins::args::CommandLine;
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::object_api::{Limits, ObjectApi};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let address = args.required::<SocketAddr>("--address")?;
    let limits = Limits {
        reads_per_s: args.or("--reads-per-s", 2_000)?,
        writes_per_s: args.or("--writes-per-s", 300)?,
    };
    let history_max = args.or("--history", 4_096)?;
    args.finish()?;
    smol::block_on(async {
        let server = Server::bind(address, Arc::new(ObjectApi::new(limits, history_max))).await?;
        println!("object api on {}", server.address());
        smol::future::pending::<()>().await;
        Ok(())
    })
}
