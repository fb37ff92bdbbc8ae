use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use celeryhaven_types::TimeMs;
use smol::Timer;

use celeryhaven_clock::BootClock;

/// Polls `work` only before `end`; returns `None` once `end` has passed.
///
/// The clock is read before every poll, so that a process that was suspended in the middle of an
/// exchange does not send an order after its deadline. A suspension inside one system call remains
/// possible.
pub(crate) async fn run_before<F: Future>(end: TimeMs, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    let left_ms = end.since(BootClock.now());
    let mut timer = Timer::after(Duration::from_millis(left_ms));
    smol::future::poll_fn(move |context| {
        if BootClock.now() >= end {
            return Poll::Ready(None);
        }
        if let Poll::Ready(output) = work.as_mut().poll(context) {
            return Poll::Ready(Some(output));
        }
        let timer = pin!(&mut timer);
        timer.poll(context).map(|_| None)
    })
    .await
}
