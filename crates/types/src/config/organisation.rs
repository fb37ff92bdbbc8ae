use celeryhaven_derives::{data, number};

use crate::names::OrganisationName;

number! {
    /// Priority of a request or deployment; higher values go first, within fair shares.
    Priority(u8)
}

data! {
    /// An organisation, whose callers share its API keys and its fair share.
    #[serde(deny_unknown_fields)]
    pub struct Organisation {
        /// Name, unique among organisations.
        pub name: OrganisationName,
        /// Worth of one answer before its deadline, relative to other organisations.
        pub worth: u32,
        /// Priority of the organisation's requests.
        pub priority: Priority,
        /// SHA-256 of each accepted API key, in lowercase hexadecimal.
        pub api_key_sha256: Vec<String>,
    }
}
