use std::time::{SystemTime, UNIX_EPOCH};

use celeryhaven_node::EntrySettings as NodeSettings;
use celeryhaven_settings::EntrySettings;
use celeryhaven_types::{Boot, Incarnation};

use crate::process::ProcessError;
use celeryhaven_clock::BootClock;

/// Random bits of a boot number; the upper bits are milliseconds of the wall clock.
const RANDOM_BITS: u32 = 20;

/// Returns a unique incarnation for this start of the process.
pub(crate) fn new_incarnation(settings: &EntrySettings) -> Result<Incarnation, ProcessError> {
    let seed = random_seed()?;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    let random = u64::from_le_bytes([seed[0], seed[1], seed[2], 0, 0, 0, 0, 0]);
    let boot = (millis << RANDOM_BITS) | (random & ((1 << RANDOM_BITS) - 1));
    Ok(Incarnation::new(settings.node.clone(), Boot::new(boot)))
}

/// Returns random bytes of the system.
pub(crate) fn random_seed() -> Result<[u8; 32], ProcessError> {
    let mut seed = [0; 32];
    getrandom::fill(&mut seed)
        .map_err(|error| ProcessError::Random { message: error.to_string() })?;
    Ok(seed)
}

/// Returns the settings of the state machine.
pub(crate) fn node_settings(settings: &EntrySettings, incarnation: Incarnation) -> NodeSettings {
    let mut node = NodeSettings::new(
        incarnation,
        settings.data_centre.clone(),
        settings.http_advertised,
        settings.peer_advertised,
    )
    .with_reports(settings.report_life_ms, settings.poll_interval_ms);
    node.vm_list_interval_ms = settings.vm_list_interval_ms;
    node.address_ttl_ms = settings.address_ttl_ms;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    node.unix_at_clock_zero_ms = unix_ms.saturating_sub(BootClock.now().get());
    node.seeds = settings.seeds.clone();
    node.membership.probe_period_ms = settings.probe_interval_ms;
    node.membership.ack_timeout_ms = settings.probe_interval_ms / 2;
    node.spread.vouch_ms = settings.vouch_ms;
    node.spread.fallback_ms = settings.vouch_ms / 2;
    node.once.key_life_ms = settings.key_ttl_ms;
    node
}
