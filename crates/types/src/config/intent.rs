use celeryhaven_derives::data;

use crate::config::{Deployment, Objective, Organisation, PlainService};

data! {
    /// Desired state declared by operators in the intent file.
    #[serde(deny_unknown_fields)]
    pub struct Intent {
        /// Organisations whose callers are served.
        pub organisations: Vec<Organisation>,
        /// Models to serve and their numbers of replicas.
        #[serde(default)]
        pub deployments: Vec<Deployment>,
        /// Plain services to serve.
        #[serde(default)]
        pub services: Vec<PlainService>,
        /// Cost weights for placement.
        pub objective: Objective,
    }
}
