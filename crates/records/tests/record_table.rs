//! Records that several nodes write.

use celeryhaven_records::{RecordTable, RecordWrite, WriteOutcome};
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;

fn version(number: u64) -> ObjectVersion {
    ObjectVersion::new(number)
}

const NOW: TimeMs = TimeMs::new(0);

/// A list of a relay that is behind must not undo this node's last write; a newer one removes what
/// the store no longer holds.
#[test]
fn replace_by_older_list() {
    let mut table = RecordTable::new();
    table.put(NOW, "a", version(7), 1);
    table.replace(NOW, version(6), [("b", version(5), 2)]);
    assert_eq!(table.len(), 2);
    table.replace(NOW, version(8), [("b", version(5), 2)]);
    assert_eq!(table.get(&"a"), None);
    assert_eq!(table.get(&"b").map(|stored| stored.record), Some(2));
}

/// The end of an older record must not remove one that was created again.
#[test]
fn remove_older_version() {
    let mut table = RecordTable::new();
    table.put(NOW, "a", version(7), 1);
    table.remove(&"a", version(6));
    assert_eq!(table.len(), 1);
    table.remove(&"a", version(7));
    assert!(table.is_empty());
}

#[test]
fn apply_write_outcomes() {
    let mut table = RecordTable::new();
    let put = RecordWrite::Put { key: "a", version: None, record: 1 };
    table.apply_write(NOW, &put, WriteOutcome::Failed);
    assert!(table.is_empty());
    table.apply_write(NOW, &put, WriteOutcome::Found(version(3), 2));
    assert_eq!(table.get(&"a").map(|stored| stored.record), Some(2));
    table.apply_write(NOW, &put, WriteOutcome::Written(version(4)));
    assert_eq!(table.get(&"a").map(|stored| stored.record), Some(1));
    table.apply_write(NOW, &put, WriteOutcome::Missing);
    assert!(table.is_empty());
}
