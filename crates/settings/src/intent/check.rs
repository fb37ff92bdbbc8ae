use std::collections::BTreeSet;

use celeryhaven_derives::state;
use celeryhaven_types::{Deployment, Intent, Organisation, OrganisationName, PlainService};

state! {
    /// The first invalid value in an intent.
    pub struct IntentProblem {
        /// Path of the field, such as `organisations[2].worth`.
        pub path: String,
        /// Description of the accepted values.
        pub accepted: String,
    }
}

type CheckResult = Result<(), IntentProblem>;

/// Validates an intent that was not read from a file, such as one received over a link.
pub fn check_intent(intent: &Intent) -> Result<(), IntentProblem> {
    check(intent)
}

pub(crate) fn first_problem(intent: &Intent) -> Option<IntentProblem> {
    check(intent).err()
}

fn check(intent: &Intent) -> CheckResult {
    require(!intent.organisations.is_empty(), "organisations", "at least one organisation")?;
    let names: BTreeSet<_> = intent.organisations.iter().map(|o| &o.name).collect();
    check_each(&intent.organisations, "organisations", check_organisation)?;
    check_unique(intent.organisations.iter().map(|o| o.name.as_str()), "organisations", "name")?;
    check_unique_keys(&intent.organisations)?;
    check_each(&intent.deployments, "deployments", |parent, d| {
        check_deployment(parent, d, &names)
    })?;
    check_unique(intent.deployments.iter().map(|d| d.name.as_str()), "deployments", "name")?;
    check_each(&intent.services, "services", |parent, s| check_service(parent, s, &names))?;
    check_unique(intent.services.iter().map(|s| s.name.as_str()), "services", "name")?;
    let objective = &intent.objective;
    let weights = [
        ("objective.group_downtime_weight", objective.group_downtime_weight),
        ("objective.stranded_accelerator_weight", objective.stranded_accelerator_weight),
    ];
    weights.into_iter().try_for_each(|(path, weight)| {
        require(weight.is_finite() && weight >= 0.0, path, "a number of 0 or more")
    })
}

fn check_organisation(parent: &str, organisation: &Organisation) -> CheckResult {
    check_name(parent, organisation.name.as_str())?;
    require(organisation.worth > 0, &format!("{parent}.worth"), "a whole number of 1 or more")?;
    let keys = &organisation.api_key_sha256;
    require(!keys.is_empty(), &format!("{parent}.api_key_sha256"), "at least one key hash")?;
    keys.iter().enumerate().try_for_each(|(i, key)| {
        let is_hash = key.len() == 64 && key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        require(
            is_hash,
            &format!("{parent}.api_key_sha256[{i}]"),
            "64 lowercase hexadecimal digits",
        )
    })
}

/// Checks that each key hash occurs once; a shared key would let one organisation act as another.
fn check_unique_keys(organisations: &[Organisation]) -> CheckResult {
    let mut seen = BTreeSet::new();
    let keys = organisations.iter().enumerate().flat_map(|(i, organisation)| {
        organisation.api_key_sha256.iter().enumerate().map(move |(j, key)| (i, j, key))
    });
    keys.into_iter().try_for_each(|(i, j, key)| {
        let path = format!("organisations[{i}].api_key_sha256[{j}]");
        require(seen.insert(key), &path, "a key hash that is not used elsewhere in the file")
    })
}

fn check_deployment(
    parent: &str,
    d: &Deployment,
    organisations: &BTreeSet<&OrganisationName>,
) -> CheckResult {
    check_name(parent, d.name.as_str())?;
    let texts = [("model", d.model.as_str()), ("version", d.version.as_str())];
    texts.into_iter().try_for_each(|(field, text)| {
        require(!text.is_empty(), &format!("{parent}.{field}"), "a non-empty name")
    })?;
    require(
        d.weights_bytes > 0,
        &format!("{parent}.weights_bytes"),
        "a whole number of 1 or more",
    )?;
    let counts =
        [("vms_per_replica", d.vms_per_replica), ("slots_per_replica", d.slots_per_replica)];
    counts.into_iter().try_for_each(|(field, count)| {
        require(count > 0, &format!("{parent}.{field}"), "a whole number of 1 or more")
    })?;
    check_organisations_exist(parent, &d.organisations, organisations)
}

fn check_service(
    parent: &str,
    s: &PlainService,
    organisations: &BTreeSet<&OrganisationName>,
) -> CheckResult {
    check_name(parent, s.name.as_str())?;
    require(!s.name.as_str().contains('/'), &format!("{parent}.name"), "a name without a slash")?;
    require(!s.targets.is_empty(), &format!("{parent}.targets"), "at least one target")?;
    require(
        s.slots_per_target > 0,
        &format!("{parent}.slots_per_target"),
        "a whole number of 1 or more",
    )?;
    s.idempotent_methods.iter().enumerate().try_for_each(|(i, method)| {
        let is_uppercase = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        require(
            is_uppercase,
            &format!("{parent}.idempotent_methods[{i}]"),
            "an HTTP method in uppercase letters",
        )
    })?;
    check_organisations_exist(parent, &s.organisations, organisations)
}

fn check_organisations_exist(
    parent: &str,
    wanted: &[OrganisationName],
    known: &BTreeSet<&OrganisationName>,
) -> CheckResult {
    wanted.iter().enumerate().try_for_each(|(i, name)| {
        let path = format!("{parent}.organisations[{i}]");
        require(known.contains(name), &path, "the name of an organisation in this file")
    })
}

fn check_name(parent: &str, name: &str) -> CheckResult {
    require(!name.is_empty(), &format!("{parent}.name"), "a non-empty name")
}

fn check_unique<'a>(names: impl Iterator<Item = &'a str>, list: &str, field: &str) -> CheckResult {
    let mut seen = BTreeSet::new();
    names.enumerate().try_for_each(|(i, name)| {
        require(seen.insert(name), &format!("{list}[{i}].{field}"), "a name that is not used yet")
    })
}

fn check_each<T>(items: &[T], list: &str, check: impl Fn(&str, &T) -> CheckResult) -> CheckResult {
    items.iter().enumerate().try_for_each(|(i, item)| check(&format!("{list}[{i}]"), item))
}

fn require(condition: bool, path: &str, accepted: &str) -> CheckResult {
    match condition {
        true => Ok(()),
        false => Err(IntentProblem { path: path.into(), accepted: accepted.into() }),
    }
}
