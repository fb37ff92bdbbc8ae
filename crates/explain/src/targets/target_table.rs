use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;

use crate::{Log, LogLine};

state! {
    /// Targets at one moment, by what they were for.
    #[derive(Default)]
    pub struct TargetRow {
        /// Members of replicas that serve, by model.
        pub serving: BTreeMap<String, usize>,
        /// Members of replicas that are being formed or taken apart.
        pub between: usize,
        /// Free targets that load a model.
        pub loading: usize,
        /// Free targets that have a model.
        pub staged: usize,
        /// Targets that answered no probe since.
        pub silent: usize,
    }
}

/// What targets were for, at the end of each span.
///
/// It follows from orders that were accepted, so a target that was never told anything, or that left
/// by itself, does not show.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// By the seconds after the first line.
    pub rows: BTreeMap<u64, TargetRow>,
    /// The most loads that ran at once.
    pub loads_at_once_max: usize,
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
struct Target {
    replica: Option<String>,
    load_until_ms: Option<u64>,
    has_model: bool,
    silent: bool,
}

/// What is known of one replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    model: String,
    open: bool,
}

#[derive(Clone, Debug, Default)]
struct Follow {
    targets: BTreeMap<String, Target>,
    replicas: BTreeMap<String, Replica>,
    load_ms: u64,
}

impl TargetTable {
    /// Follows the orders of a log in spans of so many seconds, with loads that take so long.
    pub fn new(log: &Log, span_s: u64, load_ms: u64) -> Self {
        let mut table = Self::default();
        let mut follow = Follow { load_ms, ..Follow::default() };
        let mut next_s = span_s.max(1);
        for line in &log.lines {
            let at_ms = line.at_ms - log.start_ms();
            while at_ms >= next_s * 1_000 {
                table.rows.insert(next_s, follow.row(next_s * 1_000));
                next_s += span_s.max(1);
            }
            follow.take(line, at_ms);
            let loading = follow.targets.values().filter(|target| target.is_loading(at_ms));
            table.loads_at_once_max = table.loads_at_once_max.max(loading.count());
        }
        table
    }
}

impl Target {
    fn is_loading(&self, now_ms: u64) -> bool {
        !self.silent && self.load_until_ms.is_some_and(|until_ms| until_ms > now_ms)
    }
}

impl Follow {
    fn take(&mut self, line: &LogLine, at_ms: u64) {
        let fields = &line.fields;
        match (fields.msg.as_str(), &fields.target, &fields.replica) {
            ("order", Some(target), _) if fields.outcome.as_deref() == Some("accepted") => {
                self.ordered(line, target, at_ms);
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

    fn ordered(&mut self, line: &LogLine, target: &str, at_ms: u64) {
        let fields = &line.fields;
        let load_ms = self.load_ms;
        let entry = self.targets.entry(target.to_owned()).or_default();
        entry.silent = false;
        match fields.order.as_deref() {
            Some("join") => {
                entry.replica.clone_from(&fields.replica);
                entry.has_model = true;
                if let (Some(replica), Some(model)) = (&fields.replica, &fields.model) {
                    self.replicas.entry(replica.clone()).or_default().model.clone_from(model);
                }
            }
            Some("leave") if entry.replica == fields.replica => entry.replica = None,
            Some("stage") => {
                entry.load_until_ms = Some(at_ms + load_ms);
                entry.has_model = true;
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
                Some(_) => row.between += 1,
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
            let (serving, between) = (serving.join(", "), row.between);
            let (loading, staged, silent) = (row.loading, row.staged, row.silent);
            writeln!(
                f,
                "at {at_s:>5} s  serving {serving}; between replicas {between}; loading {loading}; \
                 staged {staged}; silent {silent}"
            )?;
        }
        writeln!(f, "at most {} loads at once", self.loads_at_once_max)
    }
}
