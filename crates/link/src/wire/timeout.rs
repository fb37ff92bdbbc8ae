use std::future::{Future, IntoFuture};
use std::time::Duration;

use smol::future::FutureExt;

use crate::error::LinkError;

/// Waits for `work` for at most `limit_ms`; `operation` names it in the error.
pub(crate) async fn with_timeout<F: IntoFuture>(
    operation: &'static str,
    limit_ms: u64,
    work: F,
) -> Result<F::Output, LinkError> {
    let work = work.into_future();
    let limit = async move {
        smol::Timer::after(Duration::from_millis(limit_ms)).await;
        Err(LinkError::TimedOut { operation, limit_ms })
    };
    completed(work).or(limit).await
}

async fn completed<F: Future>(work: F) -> Result<F::Output, LinkError> {
    Ok(work.await)
}
