use celeryhaven_link::{Identity, Link, LinkError};
use celeryhaven_node::EntryEvent;
use celeryhaven_types::NodeName;
use slog::{debug, info};

use crate::http::HttpContext;
use crate::peer::Peers;
use crate::peer::answering::serve_delegated;

impl Peers {
    /// Accepts links of other entries until the endpoint closes.
    pub(crate) async fn accept_links(self, context: HttpContext) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (peers, context) = (self.clone(), context.clone());
            smol::spawn(async move {
                match peers.endpoint.handshake(incoming).await {
                    Ok(link) => peers.serve(link, context).await,
                    Err(error) => {
                        info!(peers.log, "a peer was refused"; "error" => error.to_string());
                    }
                }
            })
            .detach();
        }
    }

    async fn serve(&self, link: Link, context: HttpContext) {
        let Identity::Node(node) = link.peer().clone() else { return };
        let messages = self.receive(&link, node);
        let requests = self.requests(&link, context);
        smol::future::or(messages, requests).await;
    }

    /// Receives messages until the link closes.
    async fn receive(&self, link: &Link, from: NodeName) {
        loop {
            match link.receive_bytes().await {
                Ok(bytes) => self.handle_message(&from, &bytes),
                Err(LinkError::Closed { .. }) => return,
                Err(error) => debug!(self.log, "a message was lost"; "error" => error.to_string()),
            }
        }
    }

    fn handle_message(&self, from: &NodeName, bytes: &[u8]) {
        self.count_bytes("received", bytes.len());
        match celeryhaven_link::wire::decode(bytes) {
            // The sender is the node of the certificate.
            Ok(message) => {
                self.control.send_control(EntryEvent::Peer { from: from.clone(), message });
            }
            Err(error) => debug!(self.log, "a message was not read"; "error" => error.to_string()),
        }
    }

    /// Accepts delegated requests until the link closes.
    async fn requests(&self, link: &Link, context: HttpContext) {
        while let Ok(frames) = link.accept().await {
            let own = self.incarnation.clone();
            let serving = serve_delegated(context.clone(), own, frames);
            async_global_executor::spawn(serving).detach();
        }
    }
}
