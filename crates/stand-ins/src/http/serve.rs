use std::future::Future;

use crate::http::{Answer, Request};

/// A handler of HTTP requests.
pub trait Serve: Send + Sync + 'static {
    /// Handles a request.
    fn serve(&self, request: Request) -> impl Future<Output = Answer> + Send;
}
