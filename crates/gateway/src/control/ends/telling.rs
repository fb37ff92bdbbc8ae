use async_channel::Sender;
use celeryhaven_ends::TargetProcess;
use celeryhaven_quarantine::{CauseDigest, CrashRecord};
use celeryhaven_types::TimeMs;
use slog::warn;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::ends::PEERS_MAX;
use crate::control::ends::messages::SeenCrashes;
use crate::control::event::ControlEvent;
use crate::control::relay::{PeerAddress, send_crashes};

/// Maximum number of causes in one message.
const CAUSES_PER_MESSAGE: usize = 16;

/// What nodes tell each other of crashes, before the store holds it.
impl<A: Adapter> Control<A> {
    /// Applies what another node has seen of causes of crashes; answers what this one knows of these.
    pub(in crate::control) fn learn_crashes(
        &mut self,
        now: TimeMs,
        seen: SeenCrashes,
        reply: Option<Sender<SeenCrashes>>,
    ) {
        for (digest, record) in &seen.records {
            for crash in &record.crashes {
                let (name, started_at_ms) = (crash.target.clone(), crash.started_at_ms);
                self.ends.unsettled.settle(&TargetProcess { name, started_at_ms });
            }
            self.quarantine.learn(now, *digest, record);
        }
        if let Some(reply) = reply {
            let digests = seen.records.iter().map(|(digest, _)| *digest);
            let known =
                digests.filter_map(|digest| Some((digest, self.quarantine.record(digest)?)));
            let known = known.take(CAUSES_PER_MESSAGE).collect();
            reply.try_send(SeenCrashes { records: known }).unwrap_or_default();
        }
        self.update_standings(now);
    }

    /// Tells peers what this node has seen of causes of crashes, before the store holds it.
    pub(in crate::control) fn tell_crashes(
        &self,
        now: TimeMs,
        additions: &[(CauseDigest, CrashRecord)],
    ) {
        if additions.is_empty() {
            return;
        }
        let advertised = self.peers.advertised(now);
        let peers: Vec<_> =
            advertised.map(|(record, _)| PeerAddress::of(record)).take(PEERS_MAX).collect();
        // What other nodes have seen goes along, as a message between them may have been lost.
        let known = additions.iter().map(|(digest, addition)| {
            let known = self.quarantine.record(*digest);
            (*digest, known.unwrap_or_else(|| addition.clone()))
        });
        let known: Vec<_> = known.collect();
        for records in known.chunks(CAUSES_PER_MESSAGE) {
            let seen = SeenCrashes { records: records.to_vec() };
            for peer in &peers {
                let connections = self.parts.target_client.connections.clone();
                let (peer, seen, log) = (peer.clone(), seen.clone(), self.parts.log.clone());
                let events = self.parts.events.0.clone();
                let tell = async move {
                    let Some(known) = send_crashes(&connections, &peer, &seen).await else {
                        warn!(log, "peer not told of crashes"; "peer" => peer.address.to_string());
                        return;
                    };
                    let learned = ControlEvent::CrashesSeen(known, None);
                    events.send(learned).await.unwrap_or_default();
                };
                self.executor.spawn(tell).detach();
            }
        }
    }
}
