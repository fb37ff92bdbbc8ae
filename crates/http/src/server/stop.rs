use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender, bounded};

/// Signals every connection to close once its exchange is complete.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: Rc<RefCell<Option<Sender<()>>>>,
    stopped: Receiver<()>,
}

impl Default for StopSignal {
    fn default() -> Self {
        let (sender, stopped) = bounded(1);
        Self { sender: Rc::new(RefCell::new(Some(sender))), stopped }
    }
}

impl StopSignal {
    /// Sends the signal. Further calls have no effect.
    pub fn stop(&self) {
        self.sender.borrow_mut().take();
    }

    /// Waits for the signal.
    pub async fn stopped(&self) {
        // No message is ever sent; closing the channel is the signal.
        self.stopped.recv().await.unwrap_or_default();
    }
}
