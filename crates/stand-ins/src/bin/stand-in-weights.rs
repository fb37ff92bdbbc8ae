//! Serves the weights store stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_stand_ins::args::CommandLine;
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::weights::WeightsStore;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let address = args.required::<SocketAddr>("--address")?;
    let bytes_per_s = args.or("--bytes-per-s", 2_000_000_000)?;
    args.finish()?;
    smol::block_on(async {
        let server = Server::bind(address, Arc::new(WeightsStore::new(bytes_per_s))).await?;
        println!("weights store on {}", server.address());
        smol::future::pending::<()>().await;
        Ok(())
    })
}
