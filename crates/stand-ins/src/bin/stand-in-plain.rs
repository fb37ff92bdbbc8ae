//! Serves the plain service stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_stand_ins::args::CommandLine;
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::plain::PlainService;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let address = args.required::<SocketAddr>("--address")?;
    args.finish()?;
    smol::block_on(async {
        let server = Server::bind(address, Arc::new(PlainService::new())).await?;
        println!("plain service on {}", server.address());
        smol::future::pending::<()>().await;
        Ok(())
    })
}
