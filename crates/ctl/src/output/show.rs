use std::time::{Duration, UNIX_EPOCH};

use celeryhaven_placement::describe;
use celeryhaven_types::{
    ChangeRecord, DomainStatus, NodeName, OperatorReply, Plan, ReplicaPhase, StatusReport, VmName,
};

use crate::output::Table;

/// Formats a reply as text; refusals are reported as errors instead.
pub fn show(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Planned(plan) => show_plan(plan),
        OperatorReply::Accepted(record) => format!(
            "configuration {} is accepted, made from {}\n{}",
            record.number,
            record.from_number,
            indented(&record.summary)
        ),
        OperatorReply::Status(status) => show_status(status),
        OperatorReply::Audit(records) => show_audit(records),
        OperatorReply::Refused(refusal) => format!("{refusal}\n"),
    }
}

/// Formats a reply as JSON.
pub fn report(reply: &OperatorReply) -> String {
    serde_json::to_string_pretty(reply).unwrap_or_default() + "\n"
}

fn indented(lines: &[String]) -> String {
    lines.iter().map(|line| format!("  {line}\n")).collect()
}

fn show_plan(plan: &Plan) -> String {
    let effects: Vec<String> = plan.effects.iter().map(describe).collect();
    let effects = if effects.is_empty() { vec!["nothing".to_owned()] } else { effects };
    format!(
        "plan {} from configuration {} would change:\n{}put it in force with: confirm {}\n",
        plan.id,
        plan.base,
        indented(&effects),
        plan.id
    )
}

fn show_audit(records: &[ChangeRecord]) -> String {
    let mut table = Table::new(&["NUMBER", "FROM", "WHEN", "OPERATOR", "WHAT"]);
    for record in records {
        let what = match record.summary.as_slice() {
            [] => "no difference".to_owned(),
            lines => lines.join("; "),
        };
        table.row(vec![
            record.number.to_string(),
            record.from_number.to_string(),
            time(record.at_unix_ms),
            record.operator.to_string(),
            what,
        ]);
    }
    table.to_string()
}

/// Formats a wall-clock time in UTC, to the second.
fn time(unix_ms: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(unix_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}

fn show_status(status: &StatusReport) -> String {
    let mut text = format!("configuration {}\n", status.config_number);
    if status.replicas_unplaced > 0 {
        text += &format!("no room for {} replicas\n", status.replicas_unplaced);
    }
    text += &drained("drained VMs", status.drained_vms.iter().map(VmName::as_str));
    text += &drained("drained nodes", status.drained_nodes.iter().map(NodeName::as_str));
    let sections = [
        domain_table(&status.domains),
        replica_table(&status.domains),
        lease_table(status),
        data_centre_table(status),
    ];
    let sections = sections.into_iter().filter(|table| !table.is_empty());
    sections.fold(text, |text, table| format!("{text}\n{table}"))
}

fn drained<'a>(what: &str, names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    if names.is_empty() { String::new() } else { format!("{what}: {}\n", names.join(", ")) }
}

fn domain_table(domains: &[DomainStatus]) -> Table {
    let mut table = Table::new(&[
        "DOMAIN",
        "DATA CENTRE",
        "VMS",
        "SERVING",
        "BROKEN",
        "FORMING",
        "DRAINING",
        "RELEASING",
    ]);
    for domain in domains {
        let placement = &domain.placement;
        let count = |phase| {
            let replicas = placement.replicas.iter();
            replicas.filter(|replica| replica.phase == phase).count()
        };
        let broken = domain.broken.len();
        table.row(vec![
            placement.domain.to_string(),
            placement.data_centre.to_string(),
            domain.vms_listed.to_string(),
            count(ReplicaPhase::Serving).saturating_sub(broken).to_string(),
            broken.to_string(),
            count(ReplicaPhase::Forming).to_string(),
            count(ReplicaPhase::Draining).to_string(),
            placement.releasing.len().to_string(),
        ]);
    }
    table
}

fn replica_table(domains: &[DomainStatus]) -> Table {
    let mut table = Table::new(&["REPLICA", "DEPLOYMENT", "VERSION", "GENERATION", "PHASE", "VMS"]);
    domains.iter().for_each(|domain| add_replicas(&mut table, domain));
    table
}

fn add_replicas(table: &mut Table, domain: &DomainStatus) {
    for replica in &domain.placement.replicas {
        let phase = match replica.phase {
            ReplicaPhase::Serving if domain.broken.contains(&replica.name) => "broken",
            ReplicaPhase::Forming => "forming",
            ReplicaPhase::Serving => "serving",
            ReplicaPhase::Draining => "draining",
        };
        let vms: Vec<&str> = replica.vms.iter().map(VmName::as_str).collect();
        table.row(vec![
            replica.name.to_string(),
            replica.deployment.to_string(),
            replica.version.to_string(),
            replica.generation.to_string(),
            phase.to_owned(),
            vms.join(" "),
        ]);
    }
}

fn lease_table(status: &StatusReport) -> Table {
    let mut table = Table::new(&["LEASE", "HOLDER", "FENCE"]);
    for lease in &status.leases {
        let cells = [lease.key.clone(), lease.holder.node.to_string(), lease.fence.to_string()];
        table.row(cells.to_vec());
    }
    table
}

fn data_centre_table(status: &StatusReport) -> Table {
    let mut table =
        Table::new(&["DATA CENTRE", "CONFIGURATION IN FORCE", "ENTRIES", "REPORTED AT"]);
    for data_centre in &status.data_centres {
        table.row(vec![
            data_centre.data_centre.to_string(),
            data_centre.config_number.to_string(),
            data_centre.entries_alive.to_string(),
            time(data_centre.at_unix_ms),
        ]);
    }
    table
}
