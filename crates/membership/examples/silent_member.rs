//! One of four members falls silent: the others suspect it, declare it dead, and it returns later.
//!
//! Run with `cargo run -p celeryhaven-membership --example silent_member`.

use std::collections::VecDeque;
use std::net::SocketAddr;

use celeryhaven_membership::{Member, Membership, MembershipAction, MembershipSettings, Message};
use celeryhaven_types::{Boot, DataCentreName, Incarnation, NodeName, TimeMs};

const MEMBERS: u16 = 4;
const SILENT: usize = 3;
const SILENT_MS: std::ops::Range<u64> = 5_000..14_000;
const STEP_MS: usize = 10;

fn member(index: u16) -> Membership {
    let incarnation = Incarnation::new(NodeName::new(format!("entry-{index}")), Boot::new(1));
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + index));
    let me = Member::new(incarnation, address, DataCentreName::new("riga-1"));
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 7_000))];
    let settings = MembershipSettings::default();
    Membership::new(TimeMs::new(0), me, settings, u64::from(index)).with_seeds(seeds)
}

/// Messages in transit; each arrives one step after it was sent.
#[derive(Default)]
struct Network {
    packets: VecDeque<(NodeName, SocketAddr, Message)>,
}

impl Network {
    fn execute(&mut self, now: TimeMs, from: &NodeName, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.packets.push_back((from.clone(), to, message));
                }
                MembershipAction::Changed { member, state } => {
                    println!("{:>6} ms: {from} sees {} as {state:?}", now.get(), member.node());
                }
                MembershipAction::Superseded { by } => println!("{from} is replaced by {by:?}"),
            }
        }
    }

    fn deliver(&mut self, now: TimeMs, members: &mut [Membership], is_silent: bool) {
        for (from, to, message) in std::mem::take(&mut self.packets) {
            let receiver = members.iter_mut().enumerate().find(|(_, m)| m.me().address == to);
            let Some((index, receiver)) = receiver else { continue };
            if is_silent && index == SILENT {
                continue;
            }
            let mut actions = Vec::new();
            receiver.receive_message(now, &from, message, &mut actions);
            let name = receiver.me().node().clone();
            self.execute(now, &name, actions);
        }
    }
}

fn main() {
    let mut members: Vec<Membership> = (0..MEMBERS).map(member).collect();
    let mut network = Network::default();
    for now_ms in (0..20_000).step_by(STEP_MS) {
        let now = TimeMs::new(now_ms);
        let is_silent = SILENT_MS.contains(&now_ms);
        network.deliver(now, &mut members, is_silent);
        for (index, member) in members.iter_mut().enumerate() {
            if member.next_wake() > now || (is_silent && index == SILENT) {
                continue;
            }
            let mut actions = Vec::new();
            member.tick(now, &mut actions);
            network.execute(now, &member.me().node().clone(), actions);
        }
    }
    for member in &members {
        println!("{} sees {} live members", member.me().node(), member.live().count());
    }
}
