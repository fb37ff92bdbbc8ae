use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;

use crate::{Log, LogLine};

state! {
    /// Number of targets at one time, by state.
    #[derive(Default)]
    pub struct TargetRow {
        /// Members of replicas that serve, by model.
        pub serving: BTreeMap<String, usize>,
        /// Members of replicas that are being formed or dissolved.
        pub in_transition: usize,
        /// Free targets that are loading a model.
        pub loading: usize,
        /// Free targets with a staged model.
        pub staged: usize,
        /// Targets that did not answer their last probe.
        pub silent: usize,
    }
}

/// States of targets at the end of each time span.
///
/// They are derived from accepted orders, so targets without orders are missing and targets that
/// left by themselves are still counted.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// Rows by time, in seconds after the first line.
    pub rows: BTreeMap<u64, TargetRow>,
    /// Maximum number of concurrent loads.
    pub concurrent_loads_max: usize,
}

#[derive(Clone, Debug, Default)]
struct TargetState {
    replica: Option<String>,
    load_until_ms: Option<u64>,
    has_model: bool,
    silent: bool,
}

#[derive(Clone, Debug, Default)]
struct ReplicaState {
    model: String,
    open: bool,
}

/// State of all targets and replicas up to the last applied line.
#[derive(Clone, Debug, Default)]
struct FleetState {
    targets: BTreeMap<String, TargetState>,
    replicas: BTreeMap<String, ReplicaState>,
    load_ms: u64,
}

impl TargetTable {
    /// Builds the table in spans of `span_s` seconds, assuming that a load takes `load_ms`.
    pub fn new(log: &Log, span_s: u64, load_ms: u64) -> Self {
        let mut table = Self::default();
        let mut fleet = FleetState { load_ms, ..FleetState::default() };
        let mut next_s = span_s.max(1);
        for line in &log.lines {
            let at_ms = line.at_ms - log.start_ms();
            while at_ms >= next_s * 1_000 {
                table.rows.insert(next_s, fleet.row(next_s * 1_000));
                next_s += span_s.max(1);
            }
            fleet.apply_line(line, at_ms);
            let loading = fleet.targets.values().filter(|target| target.is_loading(at_ms));
            table.concurrent_loads_max = table.concurrent_loads_max.max(loading.count());
        }
        table
    }
}

impl TargetState {
    fn is_loading(&self, now_ms: u64) -> bool {
        !self.silent && self.load_until_ms.is_some_and(|until_ms| until_ms > now_ms)
    }
}

impl FleetState {
    fn apply_line(&mut self, line: &LogLine, at_ms: u64) {
        let fields = &line.fields;
        match (fields.msg.as_str(), &fields.target, &fields.replica) {
            ("order", Some(target), _) if fields.outcome.as_deref() == Some("accepted") => {
                self.apply_order(line, target, at_ms);
            }
            ("probe", Some(target), _) => {
                let answers = fields.reachability.as_deref() == Some("Answers");
                self.targets.entry(target.clone()).or_default().silent = !answers;
            }
            ("replica", _, Some(replica)) => {
                let replica = self.replicas.entry(replica.clone()).or_default();
                match fields.change.as_deref() {
                    Some("open") => replica.open = true,
                    Some("planned" | "adopted") | None => {}
                    Some(_) => replica.open = false,
                }
            }
            _ => {}
        }
    }

    fn apply_order(&mut self, line: &LogLine, target: &str, at_ms: u64) {
        let fields = &line.fields;
        let load_ms = self.load_ms;
        let state = self.targets.entry(target.to_owned()).or_default();
        state.silent = false;
        match fields.order.as_deref() {
            Some("join") => {
                state.replica.clone_from(&fields.replica);
                state.has_model = true;
                if let (Some(replica), Some(model)) = (&fields.replica, &fields.model) {
                    self.replicas.entry(replica.clone()).or_default().model.clone_from(model);
                }
            }
            Some("leave") if state.replica == fields.replica => state.replica = None,
            Some("stage") => {
                state.load_until_ms = Some(at_ms + load_ms);
                state.has_model = true;
            }
            _ => {}
        }
    }

    fn row(&self, now_ms: u64) -> TargetRow {
        let mut row = TargetRow::default();
        for target in self.targets.values() {
            let replica = target.replica.as_ref().and_then(|name| self.replicas.get(name));
            match replica {
                _ if target.silent => row.silent += 1,
                Some(replica) if replica.open => {
                    *row.serving.entry(replica.model.clone()).or_default() += 1;
                }
                Some(_) => row.in_transition += 1,
                None if target.is_loading(now_ms) => row.loading += 1,
                None => row.staged += usize::from(target.has_model),
            }
        }
        row
    }
}

impl fmt::Display for TargetTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at_s, row) in &self.rows {
            let serving: Vec<String> =
                row.serving.iter().map(|(model, count)| format!("{count} of {model}")).collect();
            let (serving, in_transition) = (serving.join(", "), row.in_transition);
            let (loading, staged, silent) = (row.loading, row.staged, row.silent);
            writeln!(
                f,
                "at {at_s:>5} s  serving {serving}; in transition {in_transition}; loading {loading}; \
                 staged {staged}; silent {silent}"
            )?;
        }
        writeln!(f, "at most {} concurrent loads", self.concurrent_loads_max)
    }
}
