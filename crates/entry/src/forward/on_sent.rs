/// Observer of the first byte of an attempt.
///
/// Implemented for closures that may be called from several threads.
///
/// ```
/// use celeryhaven_entry::forward::OnSent;
/// fn notify(observer: &impl OnSent) {
///     observer.on_sent();
/// }
/// notify(&|| println!("it may have run"));
/// ```
pub trait OnSent: Send + Sync + 'static {
    /// Called once, right before the byte is written to the socket.
    fn on_sent(&self);
}

impl<F: Fn() + Send + Sync + 'static> OnSent for F {
    fn on_sent(&self) {
        self();
    }
}
