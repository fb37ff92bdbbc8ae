use prometheus_client::encoding::EncodeLabelSet;

/// Labels of an ended request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The organisation, or empty if the caller was not known.
    pub organisation: String,
    /// The verdict the caller was told.
    pub verdict: &'static str,
    /// The refusal's code, or empty.
    pub code: String,
}

/// Labels of a figure of one deployment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DeploymentLabel {
    /// The deployment.
    pub deployment: String,
}

/// Labels of bytes on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Labels of calls to others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// What was called.
    pub call: &'static str,
    /// How it ended.
    pub outcome: &'static str,
}

/// Labels of calls to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabel {
    /// The kind of object.
    pub kind: &'static str,
    /// The call.
    pub call: &'static str,
}
