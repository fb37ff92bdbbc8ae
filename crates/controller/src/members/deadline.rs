use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use celeryhaven_types::TimeMs;
use smol::Timer;

use celeryhaven_clock::BootClock;

/// Runs `work` only while it is earlier than `end`; `None` once it is not.
///
/// Guards against an order that leaves after a pause. The process may be suspended between two
/// steps of the exchange, such as connecting and sending; on waking, the readiness of the socket
/// and the end of the time come at once. So the clock is read before every step, and a step that
/// would come too late is not taken. What remains is a pause inside one system call.
pub(crate) async fn before<F: Future>(end: TimeMs, work: F) -> Option<F::Output> {
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
