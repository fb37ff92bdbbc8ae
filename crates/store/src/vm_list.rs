use celeryhaven_types::{VmEntry, VmName};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::json_text::json_text;

/// The platform's list of VMs, as far as it can be read.
///
/// ```
/// use celeryhaven_store::VmList;
/// let body = r#"{"vms": [{"vm": "odd", "address": "10.0.0.1:99999"}, {"vm": 7}]}"#;
/// let list = VmList::parse(body.as_bytes()).unwrap();
/// assert!(list.entries.is_empty());
/// let ignored: Vec<&str> = list.ignored.iter().map(|entry| entry.name.as_str()).collect();
/// assert_eq!(ignored, ["odd", "unnamed"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// The entries that can be read.
    pub entries: Vec<VmEntry>,
    /// The others, which another writer may have left.
    pub ignored: Vec<IgnoredVm>,
}

/// An entry that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredVm {
    /// The name in the entry, or `unnamed`.
    pub name: VmName,
    /// Why it cannot be read.
    pub error: String,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
}

/// The name of an entry whose other fields may be of any type.
#[derive(Deserialize)]
struct NamedBody {
    vm: VmName,
}

impl VmList {
    /// Parses the answer to `GET /vms`; returns `None` if it is no list.
    ///
    /// An entry that cannot be read does not hide the others.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let body = json_text(body);
        let list: ListBody<'_> = serde_json::from_str(&body).ok()?;
        let mut parsed = Self::default();
        for entry in list.vms {
            match serde_json::from_str(entry.get()) {
                Ok(entry) => parsed.entries.push(entry),
                Err(error) => {
                    let named = serde_json::from_str::<NamedBody>(entry.get());
                    let name = named.map_or_else(|_| VmName::new("unnamed"), |named| named.vm);
                    parsed.ignored.push(IgnoredVm { name, error: error.to_string() });
                }
            }
        }
        Some(parsed)
    }
}
