use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a completed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The organisation, or empty if the caller was not identified.
    pub organisation: String,
    /// The verdict sent to the caller.
    pub verdict: &'static str,
    /// The refusal's code, or empty if the request was not refused.
    pub code: String,
}

/// Label of a metric per deployment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DeploymentLabel {
    /// The deployment.
    pub deployment: String,
}

/// Label of network traffic by direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Labels of a call and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The call.
    pub call: &'static str,
    /// The outcome.
    pub outcome: &'static str,
}

/// Labels of what has a reason and an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason.
    pub reason: &'static str,
    /// The outcome.
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
