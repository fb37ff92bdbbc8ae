use celeryhaven_types::{Change, OrganisationName, PlanEffect};

/// Describes an effect of a plan in one line.
///
/// ```
/// use celeryhaven_placement::describe;
/// use celeryhaven_types::{DeploymentName, PlanEffect};
/// let effect = PlanEffect::Form { deployment: DeploymentName::new("draft"), replicas: 2 };
/// assert_eq!(describe(&effect), "form 2 of draft");
/// ```
pub fn describe(effect: &PlanEffect) -> String {
    match effect {
        PlanEffect::Form { deployment, replicas } => format!("form {replicas} of {deployment}"),
        PlanEffect::Stop { replica, deployment, organisations } => {
            format!("stop {replica} of {deployment}, used by {}", list(organisations))
        }
        PlanEffect::Replace { replica, deployment, organisations } => {
            format!("replace {replica} of {deployment}, used by {}", list(organisations))
        }
        PlanEffect::Short { deployment, replicas } => {
            format!("no room for {replicas} of {deployment}")
        }
        PlanEffect::Set { what } => what.clone(),
    }
}

fn list(organisations: &[OrganisationName]) -> String {
    let names: Vec<&str> = organisations.iter().map(OrganisationName::as_str).collect();
    if names.is_empty() { "nobody".to_owned() } else { names.join(", ") }
}

/// Returns the summary of a drain for the audit record; `None` for other changes.
pub fn drain_summary(change: &Change) -> Option<String> {
    let (what, name, drained) = match change {
        Change::DrainVm { vm, drained } => ("VM", vm.as_str(), drained),
        Change::DrainNode { node, drained } => ("node", node.as_str(), drained),
        Change::Initial | Change::Plan { .. } => return None,
    };
    Some(if *drained {
        format!("drain {what} {name}")
    } else {
        format!("undo drain of {what} {name}")
    })
}
