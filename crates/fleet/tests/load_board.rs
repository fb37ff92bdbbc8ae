//! Loads are told on once, the newest of each target.

use celeryhaven_fleet::{LoadBoard, LoadSource, ToldLoad};
use celeryhaven_types::{TimeMs, VmName};

const NOW: TimeMs = TimeMs::new(10_000);

fn load(target: &str, requests: u32, ms_ago: u64) -> ToldLoad {
    ToldLoad { target: VmName::new(target), requests, ms_ago }
}

/// Two nodes have heard of one target, and the one that heard earlier tells later. What a node places
/// its requests by must be the newer of the two, or it sends to a target that has filled up since.
#[test]
fn note_older_told_later() {
    let mut board = LoadBoard::new();
    assert_eq!(board.note(NOW, &[load("t", 9, 50)], LoadSource::Below).len(), 1);
    assert!(board.note(NOW, &[load("t", 2, 400)], LoadSource::Below).is_empty());
    assert_eq!(board.told_since(NOW, TimeMs::new(0), LoadSource::Above), [load("t", 9, 50)]);
}

/// A relay gets back from its own relay what it told there. It is not news, and not told again, or
/// loads would go round for ever.
#[test]
fn note_own_load_comes_back() {
    let mut board = LoadBoard::new();
    board.note(NOW, &[load("t", 9, 50)], LoadSource::Below);
    let later = NOW.after(300);
    assert!(board.note(later, &[load("t", 9, 350)], LoadSource::Above).is_empty());
    assert!(board.told_since(later, NOW, LoadSource::Above).is_empty());
}

/// What a node heard from its relay is not told back there; what its own requests heard is.
#[test]
fn told_since_from_below_alone() {
    let mut board = LoadBoard::new();
    board.note(NOW, &[load("a", 1, 0)], LoadSource::Above);
    board.note(NOW, &[load("b", 2, 0)], LoadSource::Below);
    let up = board.told_since(NOW, TimeMs::new(0), LoadSource::Below);
    assert_eq!(up, [load("b", 2, 0)]);
    assert_eq!(board.told_since(NOW, TimeMs::new(0), LoadSource::Above).len(), 2);
}

/// A target has told nothing for seconds. What it told before is of requests that are over.
#[test]
fn note_forgets_old_loads() {
    let mut board = LoadBoard::new();
    assert!(board.note(NOW, &[load("t", 9, 5_000)], LoadSource::Below).is_empty());
    board.note(NOW, &[load("t", 9, 0)], LoadSource::Below);
    board.note(NOW.after(3_000), &[], LoadSource::Below);
    assert!(board.told_since(NOW.after(3_000), TimeMs::new(0), LoadSource::Above).is_empty());
}
