use std::collections::BTreeMap;
use std::sync::Arc;

use celeryhaven_derives::data;
use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::TimeMs;
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::relay::{PeerAddress, send_quiet};

/// Maximum number of peers that are told of quiet replicas.
const PEERS_MAX: usize = 8;

/// Maximum number of replicas in one message, and of those that a node tells of within `KEPT_MS`.
const REPLICAS_MAX: usize = 16;

/// Time for which a replica that was told of is not told of again, and for which one that was heard of
/// is kept.
const KEPT_MS: u64 = 1_000;

data! {
    /// Replicas whose streams have paused at the sending node.
    pub(crate) struct QuietNotice {
        pub(crate) replicas: Vec<ReplicaKey>,
    }
}

impl QuietNotice {
    /// Whether the notice is within the bounds that senders keep to.
    pub(crate) fn is_valid(&self) -> bool {
        self.replicas.len() <= REPLICAS_MAX
    }
}

/// Quiet replicas of which this node has told its peers, and heard from them.
#[derive(Debug, Default)]
pub(crate) struct QuietNotices {
    told_at: BTreeMap<ReplicaKey, TimeMs>,
    /// When each was last heard of.
    pub(super) heard: Arc<BTreeMap<ReplicaKey, TimeMs>>,
}

impl QuietNotices {
    /// Returns the replicas that peers are to be told of.
    fn take_untold(&mut self, now: TimeMs, replicas: Vec<ReplicaKey>) -> Vec<ReplicaKey> {
        self.told_at.retain(|_, at| now.since(*at) < KEPT_MS);
        let mut untold = Vec::new();
        for replica in replicas {
            if self.told_at.len() < REPLICAS_MAX && !self.told_at.contains_key(&replica) {
                self.told_at.insert(replica.clone(), now);
                untold.push(replica);
            }
        }
        untold
    }

    /// Records replicas that a peer has found quiet.
    fn hear(&mut self, now: TimeMs, replicas: Vec<ReplicaKey>) {
        let mut heard = (*self.heard).clone();
        heard.retain(|_, at| now.since(*at) < KEPT_MS);
        heard.extend(replicas.into_iter().map(|replica| (replica, now)));
        self.heard = Arc::new(heard);
    }
}

/// What nodes tell each other of replicas whose streams have paused.
impl<A: Adapter> Control<A> {
    /// Tells peers of quiet replicas, once and without retries: a peer finds them quiet itself later.
    pub(super) fn tell_quiet(&mut self, now: TimeMs, replicas: Vec<ReplicaKey>) {
        if self.is_isolated() {
            return;
        }
        let replicas = self.quiet_notices.take_untold(now, replicas);
        if replicas.is_empty() {
            return;
        }
        let advertised = self.peers.advertised(now);
        let peers: Vec<_> =
            advertised.map(|(record, _)| PeerAddress::of(record)).take(PEERS_MAX).collect();
        let notice = Arc::new(QuietNotice { replicas });
        for peer in peers {
            let connections = self.parts.target_client.connections.clone();
            let notice = notice.clone();
            let send = async move { send_quiet(&connections, &peer, &notice).await };
            self.executor.spawn(send).detach();
        }
    }

    /// Passes on to traffic which of the listed replicas a peer has found quiet.
    pub(super) fn hear_quiet(&mut self, now: TimeMs, notice: QuietNotice) {
        let known = notice.replicas.into_iter();
        let known = known.filter(|replica| self.fleet.replicas().get(replica).is_some());
        let known: Vec<ReplicaKey> = known.collect();
        if !known.is_empty() {
            let names: Vec<&str> = known.iter().map(|key| key.replica.as_str()).collect();
            info!(self.parts.log, "replicas quiet at peer"; "replicas" => names.join(","));
            self.quiet_notices.hear(now, known);
            self.publish();
        }
    }
}
