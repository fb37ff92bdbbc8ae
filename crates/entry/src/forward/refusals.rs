use serde::Deserialize;

#[derive(Deserialize)]
struct Body {
    error: Code,
}

#[derive(Deserialize)]
struct Code {
    code: String,
}

/// Whether an engine's answer is a refusal that the protocol defines as not run.
///
/// After any other failure the engine may have run the request.
pub(crate) fn is_engine_refusal(status: u16, body: &[u8]) -> bool {
    let expected = match status {
        409 => "wrong_generation",
        503 => "not_admitted",
        404 => "unknown_adapter",
        _ => return false,
    };
    serde_json::from_slice::<Body>(body).is_ok_and(|body| body.error.code == expected)
}
