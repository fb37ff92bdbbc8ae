use celeryhaven_derives::state;

state! {
    /// How many loads a domain needs.
    #[derive(Copy, Default, Eq)]
    pub struct LoadNeeds {
        /// Loads without which targets do not serve.
        pub required: u32,
        /// Loads that only prepare for losses. They leave a part of the limit to required loads.
        pub optional: u32,
    }
}
