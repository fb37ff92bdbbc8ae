//! The configuration of a small deployment with one route to one plain service.

use crate::client::{HOST, KEY};

/// `max_body_bytes`, as at the site.
pub const BODY_BYTES_MAX: usize = 4_194_304;

/// The route of a configuration.
pub struct Route {
    pub kind: &'static str,
    pub path_prefix: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    /// Channels that each server takes.
    pub channels_max: u32,
}

/// Name of the service.
pub const SERVICE: &str = "drafts";

/// Returns the configuration as the operator writes it.
pub fn config(route: &Route) -> String {
    let Route { kind, path_prefix, timeout_ms, objective_ms, channels_max } = route;
    let resumable = *kind == "stream";
    let routes = format!(
        r#"[{{"name":"r-1","host":"{HOST}","path_prefix":"{path_prefix}","route_kind":"{kind}",
        "timeout_ms":{timeout_ms},"slo_ms":{objective_ms},"priority":1,"service":"{SERVICE}",
        "max_attempts":2,"anonymous":false,"sticky":false,"resumable":{resumable},
        "gap_target_ms":300}}]"#
    );
    let services = format!(
        r#"[{{"name":"{SERVICE}","health_path":"/health","max_conns":{channels_max},
        "protocol":"h1","tls":false}}]"#
    );
    let limits = format!(
        r#"{{"max_header_bytes":16384,"max_body_bytes":{BODY_BYTES_MAX},
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
    );
    let tenants = format!(r#"[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]"#);
    format!(
        r#"{{"version":7,"routes":{routes},"services":{services},"limits":{limits},
        "tenants":{tenants}}}"#
    )
}
