//! Serves engine stand-ins: many VMs, each at its own address, and one control port.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_stand_ins::args::{ArgsError, CommandLine};
use celeryhaven_stand_ins::engine::{EngineFleet, EngineSettings};
use celeryhaven_stand_ins::http::Server;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = CommandLine::from_env();
    let control = args.required::<SocketAddr>("--control")?;
    let vms = args.repeated::<String>("--vm")?;
    let settings = settings(&mut args)?;
    args.finish()?;
    smol::block_on(async {
        let fleet = Arc::new(EngineFleet::new());
        for vm in &vms {
            let (name, address) =
                vm.split_once('=').ok_or("invalid --vm: expected NAME=ADDRESS")?;
            fleet.start(name, address.parse()?, settings.clone()).await?;
        }
        let server = Server::bind(control, fleet).await?;
        println!("{} engines, control on {}", vms.len(), server.address());
        smol::future::pending::<()>().await;
        Ok(())
    })
}

fn settings(args: &mut CommandLine) -> Result<EngineSettings, ArgsError> {
    let default = EngineSettings::new();
    Ok(EngineSettings {
        slots: args.or("--slots", default.slots)?,
        waiting_max: args.or("--waiting-max", default.waiting_max)?,
        prefill_us_per_token: args.or("--prefill-us-per-token", default.prefill_us_per_token)?,
        decode_us: args.or("--decode-us", default.decode_us)?,
        decode_us_per_request: args.or("--decode-us-per-request", default.decode_us_per_request)?,
        cache_blocks_max: args.or("--cache-blocks", default.cache_blocks_max)?,
        report_lag_ms: args.or("--report-lag-ms", default.report_lag_ms)?,
        cache_event_gap_every: args.or("--cache-event-gap-every", default.cache_event_gap_every)?,
        checks_fences: !args.switch("--ignore-fences"),
        weights: args.optional("--weights")?,
        ..default
    })
}
