use std::cell::RefCell;
use std::rc::Rc;

use async_channel::{Receiver, Sender, bounded};

/// Tells every connection to end once its exchange is over.
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
    /// Gives the signal; again does nothing.
    pub fn stop(&self) {
        self.sender.borrow_mut().take();
    }

    /// Ends when the signal is given.
    pub async fn stopped(&self) {
        // Nothing is ever sent: the end of the channel is the signal.
        self.stopped.recv().await.unwrap_or_default();
    }
}
