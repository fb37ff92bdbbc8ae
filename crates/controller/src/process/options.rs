use celeryhaven_lease::LeaseSettings;
use celeryhaven_node::ControllerOptions;
use celeryhaven_placement::PlacementSettings;
use celeryhaven_settings::ControllerSettings;

/// Derives the controller's options from its settings.
///
/// The lease margin covers clock drift over the lease's lifetime and the delay between the last
/// clock check and the first byte sent.
pub(crate) fn options(settings: &ControllerSettings) -> ControllerOptions {
    let ttl_fraction_ms = settings.lease_ttl_ms / 6;
    let lease = LeaseSettings {
        ttl_ms: settings.lease_ttl_ms,
        margin_ms: ttl_fraction_ms,
        renew_every_ms: settings.lease_renew_ms,
        call_timeout_ms: settings.store_timeout_ms.min(settings.lease_renew_ms),
        jitter_ms: ttl_fraction_ms,
        far_delay_ms: settings.lease_ttl_ms / 2,
    };
    let placement = PlacementSettings {
        // A poll may have started just before the member failed, and one more may be lost.
        silent_ms: settings.report_life_ms + settings.poll_interval_ms + settings.poll_timeout_ms,
        report_life_ms: settings.report_life_ms,
        ..PlacementSettings::default()
    }
    .with_order_life_ms(settings.order_life_ms)
    .with_weights_rate_bytes_per_s(settings.weights_rate_bytes_per_s);
    ControllerOptions {
        leases_interval_ms: settings.lease_renew_ms.min(2_000),
        ..ControllerOptions::default()
            .with_lease(lease)
            .with_placement(placement)
            .with_vm_list_interval_ms(settings.vm_list_interval_ms)
            .with_poll_interval_ms(settings.poll_interval_ms)
            .with_store_timeout_ms(settings.store_timeout_ms + 500)
    }
}
