use std::time::Duration;

use async_channel::Sender;
use celeryhaven_ends::{Finding, Listing, TargetProcess};
use celeryhaven_types::TimeMs;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::ends::ends_state::listing;
use crate::control::ends::messages::{AskedEnd, EndAnswer, EndQuestion};
use crate::control::ends::{ASKED_AGAIN_MS, CONTENTS_PER_END, ENDS_PER_QUESTION, FIND_AGAIN_MS};
use crate::control::event::ControlEvent;

/// Finds out about ends for other nodes.
impl<A: Adapter> Control<A> {
    /// Finds out for another node whether targets have ended.
    pub(in crate::control) fn answer_question(
        &mut self,
        now: TimeMs,
        question: EndQuestion,
        reply: Sender<EndAnswer>,
    ) {
        let until = now.after(question.unsettled_ms.min(ASKED_AGAIN_MS));
        let mut finds = Vec::new();
        for asked in question.ends.into_iter().take(ENDS_PER_QUESTION) {
            let AskedEnd { process, contents, is_refused } = asked;
            if is_refused {
                self.ends.checks.heard(now, &process);
            }
            for digest in contents.into_iter().take(CONTENTS_PER_END) {
                self.ends.unsettled.record(digest, process.clone(), until);
            }
            let listing = listing(&self.fleet, &process, self.store_unavailable);
            finds.push((listing, self.called(&process), process));
        }
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let executor = self.executor.clone();
        let find_time = Duration::from_millis(question.find_ms.min(FIND_AGAIN_MS));
        let find_all = async move {
            let finding = finds.into_iter().map(|(listing, called, process)| {
                let (client, events) = (client.clone(), events.clone());
                executor.spawn(async move {
                    let finding = match (listing, called) {
                        (Listing::Restarted, _) => Finding::Restarted,
                        (_, Some(called)) => client.find(&called, find_time).await,
                        (_, None) => Finding::Unreachable,
                    };
                    if finding == Finding::Accepted {
                        events.send(ControlEvent::EndSettled(process)).await.unwrap_or_default();
                    }
                    finding
                })
            });
            let mut findings = Vec::new();
            for finding in finding.collect::<Vec<_>>() {
                findings.push(finding.await);
            }
            reply.send(EndAnswer { findings }).await.unwrap_or_default();
        };
        self.executor.spawn(find_all).detach();
    }

    /// Records that an end that another node asked about is settled.
    pub(in crate::control) fn record_settled(&mut self, process: &TargetProcess) {
        self.ends.unsettled.settle(process);
        self.ends.checks.settle_heard(process);
    }
}
