//! A member restarts at the same address with empty memory, and the replica is no longer whole.

use celeryhaven_types::{
    Boot, Fence, Formation, Generation, MemberReport, ModelVersion, ReplicaName, TimeMs, VmName,
};
use celeryhaven_wholeness::Agreement;

fn report(vm: &str, boot: u64) -> MemberReport {
    let formation = Formation {
        replica: ReplicaName::new("draft-1"),
        generation: Generation::new(1),
        version: ModelVersion::new("2026-11"),
        member_boots: vec![Boot::new(10), Boot::new(20)],
        ready: true,
    };
    MemberReport {
        vm: VmName::new(vm),
        boot: Boot::new(boot),
        formation: Some(formation),
        fence: Fence::new(1),
        running: 0,
        waiting: 0,
        prefill_tokens_queued: 0,
        kv_used_permille: 0,
        tokens_generated: 0,
        load_age_ms: 0,
        adapters_loaded: Vec::new(),
        weights_loaded_bytes: 0,
    }
}

fn main() {
    let members = vec![VmName::new("vm-1"), VmName::new("vm-2")];
    let replica = ReplicaName::new("draft-1");
    let mut agreement = Agreement::new(replica, Generation::new(1), members, 1_500);
    agreement.apply_report(TimeMs::new(0), &report("vm-1", 10));
    agreement.apply_report(TimeMs::new(0), &report("vm-2", 20));
    println!("both report: {:?}", agreement.evaluate(TimeMs::new(100)));
    agreement.apply_report(TimeMs::new(500), &report("vm-2", 21));
    println!("vm-2 restarted: {:?}", agreement.evaluate(TimeMs::new(500)));
}
