//! Who gets room for a body, who waits and who is refused.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use celeryhaven_body_budget::{
    BodyBudget, BodyHead, BodyKey, BodyRefusal, Decision, MemoryShares, OrganisationKey,
    RefusalReason,
};
use celeryhaven_types::{OrganisationName, TimeMs};

const LIMIT_BYTES: u64 = 100_000_000;
const LONG_BYTES: u64 = 4_000_000;

/// Time limit of a request, in milliseconds.
const BUDGET_MS: u64 = 8_000;

/// Bytes that may be received of each body before a decision on it takes effect.
const STEP_BYTES: u64 = 16_384;

fn at(ms: u64) -> TimeMs {
    TimeMs::new(1_000_000 + ms)
}

fn head(now: TimeMs, rank: u8, length_bytes: impl Into<Option<u64>>) -> BodyHead {
    let (organisation, length_bytes) = (OrganisationKey::default(), length_bytes.into());
    let deadline = now.after(BUDGET_MS);
    BodyHead { rank, organisation, length_bytes, deadline, answer_ms: None }
}

fn budget() -> BodyBudget {
    let mut budget = BodyBudget::new(LIMIT_BYTES);
    budget.set_body_max(4_194_304);
    budget
}

/// Adds a body if it may be read at once.
fn admit(budget: &mut BodyBudget, now: TimeMs, rank: u8, length_bytes: u64) -> Option<BodyKey> {
    let (key, decision) = budget.arrive(now, &head(now, rank, length_bytes));
    if decision != Decision::Read {
        budget.remove(key);
        return None;
    }
    Some(key)
}

/// Receives a whole body at once.
fn hold(budget: &mut BodyBudget, now: TimeMs, key: BodyKey, length_bytes: u64) {
    assert_eq!(budget.receive(now, key, length_bytes), Decision::Read);
    budget.complete(now, key);
}

/// Fills the room with long bodies that are held from `now` on.
fn fill(budget: &mut BodyBudget, now: TimeMs) -> Vec<BodyKey> {
    let mut held = Vec::new();
    while let Some(key) = admit(budget, now, 1, LONG_BYTES) {
        hold(budget, now, key, LONG_BYTES);
        held.push(key);
    }
    held
}

/// Lets the budget measure that bodies are held for this time.
fn teach_hold_time(budget: &mut BodyBudget, ms: u64) {
    let key = admit(budget, at(0), 1, LONG_BYTES).unwrap();
    hold(budget, at(0), key, LONG_BYTES);
    budget.release(at(ms), key, LONG_BYTES);
}

fn refusal(decision: Decision) -> BodyRefusal {
    match decision {
        Decision::Refuse(refusal) => refusal,
        other => panic!("{other:?} instead of a refusal"),
    }
}

/// Bodies that together exceed the memory must not all be read.
#[test]
fn arrive_more_than_fit() {
    let mut budget = budget();
    let decisions: Vec<Decision> =
        (0..64).map(|_| budget.arrive(at(0), &head(at(0), 1, LONG_BYTES)).1).collect();
    let read = decisions.iter().filter(|decision| **decision == Decision::Read).count() as u64;
    assert!(read * LONG_BYTES <= LIMIT_BYTES, "{read} bodies are read");
    assert!(read * LONG_BYTES > LIMIT_BYTES * 7 / 10, "only {read} bodies are read");
}

/// A bound that is too tight refuses what fits: half of the long bodies that exceed it must be served,
/// some after a wait.
#[test]
fn arrive_twice_the_room_in_time() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 2_000);
    let mut waiting = 0;
    for _ in 0..64 {
        let (key, decision) = budget.arrive(at(5_000), &head(at(5_000), 1, LONG_BYTES / 2));
        match decision {
            Decision::Read => hold(&mut budget, at(5_000), key, LONG_BYTES / 2),
            Decision::Wait => waiting += 1,
            Decision::Refuse(refusal) => panic!("{refusal:?}"),
        }
    }
    assert!(waiting > 0);
}

/// Bodies in chunks do not say how long they are, and must not exceed the memory either.
#[test]
fn receive_chunks_more_than_fit() {
    let mut budget = budget();
    let keys: Vec<BodyKey> = (0..200)
        .map(|_| budget.arrive(at(0), &head(at(0), 1, None)))
        .filter(|(_, decision)| *decision == Decision::Read)
        .map(|(key, _)| key)
        .collect();
    let mut reading: Vec<(BodyKey, u64)> = keys.iter().map(|key| (*key, 0)).collect();
    for step in 0..400 {
        let now = at(step * 10);
        reading.retain_mut(|(key, received)| {
            *received += STEP_BYTES;
            let decision = budget.receive(now, *key, STEP_BYTES);
            if *received >= LONG_BYTES {
                budget.complete(now, *key);
                return false;
            }
            decision == Decision::Read
        });
        for (key, decision) in budget.poll(now) {
            match decision {
                Decision::Read => reading.push((key, 65_536 + STEP_BYTES)),
                _ => budget.remove(key),
            }
        }
        assert!(
            budget.used_bytes() <= LIMIT_BYTES + 200 * STEP_BYTES,
            "{} bytes at step {step}",
            budget.used_bytes()
        );
    }
}

/// Long bodies must not shut short ones out.
#[test]
fn arrive_short_while_long_fill() {
    let mut budget = budget();
    fill(&mut budget, at(0));
    for number in 0..100 {
        let key = admit(&mut budget, at(10), 5, 40_000);
        assert!(key.is_some(), "short body {number} was not read");
    }
}

/// Short bodies may not exceed the memory either.
#[test]
fn arrive_short_more_than_fit() {
    let mut budget = budget();
    let admitted = (0..10_000).filter(|_| admit(&mut budget, at(0), 1, 60_000).is_some()).count();
    assert!(admitted as u64 * 60_000 <= LIMIT_BYTES, "{admitted} short bodies are read");
}

/// Callers that announce long bodies and send next to nothing must not shut others out.
#[test]
fn arrive_after_slow_callers() {
    let mut budget = budget();
    let mut slow = Vec::new();
    for _ in 0..40 {
        let (key, decision) = budget.arrive(at(0), &head(at(0), 1, LONG_BYTES));
        if decision == Decision::Read {
            slow.push(key);
        }
    }
    let (mut next, decision) = budget.arrive(at(10), &head(at(10), 1, LONG_BYTES));
    let mut is_read = decision == Decision::Read;
    let mut now = at(10);
    for step in 1..=40 {
        now = at(10 + step * 25);
        for key in &slow {
            budget.receive(now, *key, u64::from(step % 40 == 0));
        }
        is_read |= budget.poll(now).contains(&(next, Decision::Read));
    }
    if !is_read {
        (next, _) = budget.arrive(now, &head(now, 1, LONG_BYTES));
        is_read = budget.receive(now, next, LONG_BYTES) == Decision::Read;
    }
    assert!(is_read, "a fast caller had no room after a second");
}

/// Callers that stop before the end of their bodies must not keep the room that others need.
#[test]
fn poll_refuses_stopped_callers() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 500);
    let mut stopped = Vec::new();
    while let Some(key) = admit(&mut budget, at(1_000), 1, LONG_BYTES) {
        budget.receive(at(1_000), key, LONG_BYTES - 1);
        stopped.push(key);
    }
    let (next, decision) = budget.arrive(at(1_100), &head(at(1_100), 1, LONG_BYTES));
    assert_eq!(decision, Decision::Wait);
    assert_eq!(budget.poll(at(1_500)), []);
    let refused = budget.poll(at(2_100));
    let [(key, decision)] = refused[..] else { panic!("{refused:?}") };
    assert!(stopped.contains(&key));
    assert_eq!(refusal(decision).reason, RefusalReason::SlowCaller);
    budget.remove(key);
    assert_eq!(budget.poll(at(2_101)), [(next, Decision::Read)]);
}

/// A caller that stops must not be refused while nobody needs its room.
#[test]
fn poll_keeps_stopped_callers() {
    let mut budget = budget();
    let key = admit(&mut budget, at(0), 1, LONG_BYTES).unwrap();
    budget.receive(at(0), key, 1_000);
    assert_eq!(budget.poll(at(5_000)), []);
    assert_eq!(budget.receive(at(5_000), key, LONG_BYTES - 1_000), Decision::Read);
}

/// Bodies that are half read must not wait for each other for ever.
#[test]
fn poll_half_read_bodies() {
    let mut budget = budget();
    let keys: Vec<BodyKey> = (0..90)
        .map(|_| budget.arrive(at(0), &head(at(0), 1, None)))
        .filter(|(_, decision)| *decision == Decision::Read)
        .map(|(key, _)| key)
        .collect();
    // All grow long by small steps, each too slowly for a claim, until all wait.
    let mut received: Vec<(BodyKey, u64, bool)> = keys.iter().map(|key| (*key, 0, true)).collect();
    let mut completed = 0;
    for step in 0..4_000 {
        let now = at(step);
        for (key, bytes, is_reading) in &mut received {
            if !*is_reading {
                continue;
            }
            *bytes += STEP_BYTES;
            *is_reading = budget.receive(now, *key, STEP_BYTES) == Decision::Read;
            if *bytes >= LONG_BYTES {
                budget.complete(now, *key);
                budget.release(now, *key, *bytes);
                completed += 1;
                *is_reading = false;
            }
        }
        for (key, decision) in budget.poll(now) {
            let entry = received.iter_mut().find(|(other, ..)| *other == key).unwrap();
            entry.2 = decision == Decision::Read;
            if !entry.2 {
                budget.remove(key);
            }
        }
    }
    assert_eq!(budget.waiting(), 0);
    assert!(completed >= 22, "{completed} of {} bodies complete", keys.len());
}

/// A more urgent body must come before others, whenever it has arrived.
#[test]
fn poll_urgent_first() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 1_000);
    let held = fill(&mut budget, at(2_000));
    let mut wait = |ms: u64, rank: u8| {
        let (key, decision) = budget.arrive(at(ms), &head(at(ms), rank, LONG_BYTES));
        assert_eq!(decision, Decision::Wait, "rank {rank}");
        key
    };
    let (late, urgent) = (wait(2_010, 7), wait(2_020, 0));
    budget.release(at(2_100), held[0], LONG_BYTES);
    assert_eq!(budget.poll(at(2_100)), [(urgent, Decision::Read)]);
    hold(&mut budget, at(2_110), urgent, LONG_BYTES);
    budget.release(at(2_200), held[1], LONG_BYTES);
    assert_eq!(budget.poll(at(2_200)), [(late, Decision::Read)]);
}

/// What cannot be answered in time must be refused at once, and later ones told to return later.
#[test]
fn arrive_refused_at_once() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 5_000);
    fill(&mut budget, at(6_000));
    let mut refused = Vec::new();
    for _ in 0..40 {
        let (key, decision) = budget.arrive(at(6_010), &head(at(6_010), 1, LONG_BYTES));
        let refusal = refusal(decision);
        assert_eq!(refusal.reason, RefusalReason::NoRoom);
        refused.push(refusal.retry_after_ms);
        budget.remove(key);
    }
    assert!(refused.is_sorted(), "{refused:?}");
    // Callers come back within a third of the time that they have left, or not at all.
    assert!(refused.iter().all(|ms| (200..=BUDGET_MS / 3).contains(ms)), "{refused:?}");
}

/// A body that has come whole must not wait for room, whoever waits meanwhile.
#[test]
fn receive_last_byte_while_others_wait() {
    let mut budget = budget();
    let mut read = Vec::new();
    for _ in 0..64 {
        let (key, decision) = budget.arrive(at(0), &head(at(0), 1, LONG_BYTES));
        if decision == Decision::Read {
            read.push(key);
        }
    }
    for key in read {
        assert_eq!(budget.receive(at(1), key, LONG_BYTES - 1), Decision::Read);
        assert_eq!(budget.receive(at(600), key, 1), Decision::Read);
        budget.complete(at(600), key);
    }
}

/// A body that was expected to get room must not wait past the time in which it can be answered.
#[test]
fn poll_refuses_late_waiting() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 3_000);
    fill(&mut budget, at(4_000));
    let (key, decision) = budget.arrive(at(4_000), &head(at(4_000), 1, LONG_BYTES));
    assert_eq!(decision, Decision::Wait);
    assert_eq!(budget.poll(at(4_000 + BUDGET_MS - 3_001)), []);
    let decisions = budget.poll(at(4_000 + BUDGET_MS - 3_000));
    assert_eq!(decisions[0].0, key);
    assert_eq!(refusal(decisions[0].1).reason, RefusalReason::WaitedTooLong);
}

/// A body longer than the room must be refused, not wait.
#[test]
fn arrive_longer_than_room() {
    let mut budget = BodyBudget::new(3_000_000);
    let (_, decision) = budget.arrive(at(0), &head(at(0), 1, LONG_BYTES));
    assert_eq!(refusal(decision).reason, RefusalReason::NoRoom);
}

/// A body whose parts are released one by one uses the room of the others only.
#[test]
fn release_in_parts() {
    let mut budget = budget();
    let key = admit(&mut budget, at(0), 1, LONG_BYTES).unwrap();
    hold(&mut budget, at(0), key, LONG_BYTES);
    budget.release(at(1), key, LONG_BYTES / 2);
    assert_eq!(budget.used_bytes(), LONG_BYTES / 2);
    budget.release(at(2), key, LONG_BYTES / 2);
    assert_eq!((budget.used_bytes(), budget.held_bytes()), (0, 0));
}

/// Callers that leave while their bodies are read or wait must not keep any room.
#[test]
fn remove_unfinished() {
    let mut budget = budget();
    let read = admit(&mut budget, at(0), 1, LONG_BYTES).unwrap();
    budget.receive(at(0), read, 1_000_000);
    fill(&mut budget, at(0));
    let before = budget.used_bytes();
    let (waits, _) = budget.arrive(at(1), &head(at(1), 1, LONG_BYTES));
    budget.remove(waits);
    assert_eq!(budget.used_bytes(), before);
    budget.remove(read);
    assert!(budget.used_bytes() <= before - 1_000_000);
    assert_eq!(budget.waiting(), 0);
}

/// On the smallest machines, bodies and all else together must stay within the memory.
#[test]
fn body_bytes_smallest_machine() {
    let memory_bytes = 160_000_000;
    let shares = MemoryShares::new(memory_bytes);
    for other_bytes in (0..140_000_000).step_by(10_000_000) {
        let sum = shares.body_bytes(other_bytes) + other_bytes;
        assert!(sum < memory_bytes, "{sum} bytes beside {other_bytes} of all else");
    }
    assert!(shares.body_bytes(20_000_000) > 100_000_000);
    assert!(shares.body_bytes(u64::MAX / 2) > LONG_BYTES);
}

/// One organisation that fills the room must not keep the bodies of others behind all of its own.
#[test]
fn poll_organisation_with_less_first() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 1_000);
    let held = fill(&mut budget, at(2_000));
    let waits = |budget: &mut BodyBudget, head: &BodyHead| {
        let (key, decision) = budget.arrive(at(2_100), head);
        assert_eq!(decision, Decision::Wait);
        key
    };
    let own = head(at(2_100), 1, LONG_BYTES);
    let filling: Vec<BodyKey> = (0..4).map(|_| waits(&mut budget, &own)).collect();
    let organisation = budget.organisation(Some(&OrganisationName::new("other")));
    let other = waits(&mut budget, &BodyHead { organisation, ..own });
    budget.release(at(3_000), held[0], LONG_BYTES);
    assert_eq!(budget.poll(at(3_000)), [(other, Decision::Read)]);
    budget.release(at(3_000), held[1], LONG_BYTES);
    assert_eq!(budget.poll(at(3_000)), [(filling[0], Decision::Read)]);
}

/// Rank goes before the shares of organisations.
#[test]
fn poll_urgent_of_full_organisation_first() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 1_000);
    let held = fill(&mut budget, at(2_000));
    let organisation = budget.organisation(Some(&OrganisationName::new("other")));
    let other = BodyHead { organisation, ..head(at(2_100), 1, LONG_BYTES) };
    budget.arrive(at(2_100), &other);
    let (urgent, _) = budget.arrive(at(2_100), &head(at(2_100), 0, LONG_BYTES));
    budget.release(at(3_000), held[0], LONG_BYTES);
    assert_eq!(budget.poll(at(3_000)), [(urgent, Decision::Read)]);
}

/// A body that later arrivals make late is refused at once, and not at its deadline.
#[test]
fn poll_overtaken_refused_at_once() {
    let mut budget = budget();
    teach_hold_time(&mut budget, 3_500);
    fill(&mut budget, at(4_000));
    let mut waiting = Vec::new();
    loop {
        let (key, decision) = budget.arrive(at(4_100), &head(at(4_100), 1, LONG_BYTES));
        if decision != Decision::Wait {
            refusal(decision);
            budget.remove(key);
            break;
        }
        waiting.push(key);
    }
    assert_eq!(budget.poll(at(4_100)), []);
    let organisation = budget.organisation(Some(&OrganisationName::new("other")));
    let other = BodyHead { organisation, ..head(at(4_100), 1, LONG_BYTES) };
    assert_eq!(budget.arrive(at(4_100), &other).1, Decision::Wait);
    let decisions = budget.poll(at(4_100));
    let [(refused, decision)] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!(refused, waiting.last().unwrap());
    assert_eq!(refusal(*decision).reason, RefusalReason::NoRoom);
}

/// A body that has waited must not begin a request that the time left for its answer cuts.
#[test]
fn complete_waited_too_long() {
    let mut budget = budget();
    let held = fill(&mut budget, at(0));
    let waiting = BodyHead { answer_ms: Some(3_000), ..head(at(0), 1, LONG_BYTES) };
    let (first, decision) = budget.arrive(at(0), &waiting);
    assert_eq!(decision, Decision::Wait);
    let (second, decision) = budget.arrive(at(0), &waiting);
    assert_eq!(decision, Decision::Wait);
    budget.release(at(4_500), held[0], LONG_BYTES);
    budget.release(at(4_500), held[1], LONG_BYTES);
    assert_eq!(budget.poll(at(4_500)), [(first, Decision::Read), (second, Decision::Read)]);
    // The first is read within 0.4 s, which leaves 3.1 s, and the second within 0.6 s.
    for (ms, key) in [(4_900, first), (5_100, second)] {
        budget.receive(at(ms), key, LONG_BYTES);
        let decision = budget.complete(at(ms), key);
        match key == first {
            true => assert_eq!(decision, Decision::Read),
            false => assert_eq!(refusal(decision).reason, RefusalReason::WaitedTooLong),
        }
    }
    // One that has not waited has the time that its caller allows.
    let own = BodyHead { deadline: at(7_000), ..waiting };
    budget.remove(second);
    let (key, decision) = budget.arrive(at(5_200), &own);
    assert_eq!(decision, Decision::Read);
    budget.receive(at(5_200), key, LONG_BYTES);
    assert_eq!(budget.complete(at(5_200), key), Decision::Read);
}

/// The time that bodies take to be read is part of what a body that waits still needs.
#[test]
fn poll_waited_too_long_to_be_read() {
    let mut budget = budget();
    let key = admit(&mut budget, at(0), 1, LONG_BYTES).unwrap();
    for part in 0..5 {
        budget.receive(at(part * 200), key, LONG_BYTES / 5);
    }
    budget.complete(at(800), key);
    budget.release(at(900), key, LONG_BYTES);
    fill(&mut budget, at(1_000));
    let waiting = BodyHead { answer_ms: Some(3_000), ..head(at(1_000), 1, LONG_BYTES) };
    let (key, decision) = budget.arrive(at(1_000), &waiting);
    assert_eq!(decision, Decision::Wait);
    // Of 8 s, 3 s are needed for the answer and 0.8 s to read it.
    assert_eq!(budget.poll(at(5_199)), []);
    let decisions = budget.poll(at(5_200));
    let [(refused, decision)] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!((*refused, refusal(*decision).reason), (key, RefusalReason::WaitedTooLong));
}
