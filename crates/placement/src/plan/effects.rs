use celeryhaven_types::{
    Config, ConfigNumber, Deployment, DomainPlacement, Intent, OperatorName, OrganisationName,
    Plan, PlanEffect, Replica, ReplicaPhase,
};

use crate::allocation::{DomainCapacity, Share, allocate_after_rollout};
use crate::plan::{plan_id, settings_diff};

/// Computes the effects of an intent without applying it.
///
/// `current` is the allocation in force; `placements` and `domains` are as last read. The plan can
/// be confirmed only while the configuration that it is based on is in force.
pub fn make_plan(
    config: Option<&Config>,
    intent: Intent,
    operator: OperatorName,
    current: &[Share],
    placements: &[DomainPlacement],
    domains: &[DomainCapacity],
) -> Plan {
    let base = config.map_or(ConfigNumber::default(), |config| config.number);
    let shares = allocate_after_rollout(&intent, domains, current, placements);
    let all = all_organisations(config, &intent);
    let mut effects = settings_diff(config.map(|config| &config.intent), &intent);
    for deployment in &intent.deployments {
        effects.extend(deployment_effects(deployment, &shares, placements, &all));
    }
    effects.extend(removed_deployment_effects(config, &intent, placements, &all));
    Plan { id: plan_id(base, &intent), base, operator, intent, effects }
}

fn all_organisations(config: Option<&Config>, intent: &Intent) -> Vec<OrganisationName> {
    let current = config.map(|config| config.intent.organisations.as_slice()).unwrap_or_default();
    let names = current.iter().chain(&intent.organisations).map(|o| o.name.clone());
    let mut names: Vec<OrganisationName> = names.collect();
    names.sort();
    names.dedup();
    names
}

fn organisations_of(deployment: &Deployment, all: &[OrganisationName]) -> Vec<OrganisationName> {
    match deployment.organisations.as_slice() {
        [] => all.to_vec(),
        some => some.to_vec(),
    }
}

fn serving<'a>(
    placement: &'a DomainPlacement,
    deployment: &'a Deployment,
) -> impl Iterator<Item = &'a Replica> {
    placement.replicas.iter().filter(|replica| {
        replica.deployment == deployment.name && replica.phase != ReplicaPhase::Draining
    })
}

fn deployment_effects(
    deployment: &Deployment,
    shares: &[Share],
    placements: &[DomainPlacement],
    all: &[OrganisationName],
) -> Vec<PlanEffect> {
    let mut effects = Vec::new();
    let mut kept_replicas = 0;
    for placement in placements {
        let is_match = |share: &&Share| {
            share.deployment == deployment.name && share.domain == placement.domain
        };
        let share = shares.iter().find(is_match).map_or(0, |share| share.replicas as usize);
        for (index, replica) in serving(placement, deployment).enumerate() {
            let name = replica.name.clone();
            let organisations = organisations_of(deployment, all);
            let deployment_name = deployment.name.clone();
            if index >= share {
                effects.push(PlanEffect::Stop {
                    replica: name,
                    deployment: deployment_name,
                    organisations,
                });
                continue;
            }
            kept_replicas += 1;
            if is_replaced(replica, deployment) {
                effects.push(PlanEffect::Replace {
                    replica: name,
                    deployment: deployment_name,
                    organisations,
                });
            }
        }
    }
    let placed: u32 =
        shares.iter().filter(|s| s.deployment == deployment.name).map(|s| s.replicas).sum();
    let deployment_name = || deployment.name.clone();
    let formed = placed.saturating_sub(kept_replicas);
    if formed > 0 {
        effects.push(PlanEffect::Form { deployment: deployment_name(), replicas: formed });
    }
    let short = deployment.replicas.saturating_sub(placed);
    if short > 0 {
        effects.push(PlanEffect::Short { deployment: deployment_name(), replicas: short });
    }
    effects
}

fn is_replaced(replica: &Replica, deployment: &Deployment) -> bool {
    replica.version != deployment.version
        || replica.model != deployment.model
        || replica.vms.len() != deployment.vms_per_replica as usize
}

/// Returns an effect for each replica whose deployment the intent removes.
fn removed_deployment_effects(
    config: Option<&Config>,
    intent: &Intent,
    placements: &[DomainPlacement],
    all: &[OrganisationName],
) -> Vec<PlanEffect> {
    let before = config.map(|config| config.intent.deployments.as_slice()).unwrap_or_default();
    let is_kept = |deployment: &&Deployment| {
        intent.deployments.iter().any(|other| other.name == deployment.name)
    };
    let removed = before.iter().filter(|deployment| !is_kept(deployment));
    removed
        .flat_map(|deployment| {
            let replicas = placements.iter().flat_map(move |p| serving(p, deployment));
            replicas.map(|replica| PlanEffect::Stop {
                replica: replica.name.clone(),
                deployment: deployment.name.clone(),
                organisations: organisations_of(deployment, all),
            })
        })
        .collect()
}
