use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http_body::{Body, Frame, SizeHint};

/// The complete body of a request, in parts that are never joined; cloning shares them.
///
/// ```
/// use bytes::Bytes;
/// use celeryhaven_http::RequestBody;
/// let body: RequestBody = ["a", "", "bc"].map(Bytes::from).into_iter().collect();
/// assert_eq!((body.len_bytes(), body.parts().count()), (3, 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    parts: VecDeque<Bytes>,
    length_bytes: u64,
}

impl RequestBody {
    /// Returns the number of bytes that have not been sent.
    pub fn len_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Returns the parts that have not been sent.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        self.parts.iter()
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        std::iter::once(bytes).collect()
    }
}

impl FromIterator<Bytes> for RequestBody {
    fn from_iter<I: IntoIterator<Item = Bytes>>(parts: I) -> Self {
        let parts: VecDeque<Bytes> = parts.into_iter().filter(Buf::has_remaining).collect();
        let length_bytes = parts.iter().map(|part| part.len() as u64).sum();
        Self { parts, length_bytes }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        self.length_bytes -= part.as_ref().map_or(0, |part| part.len() as u64);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length_bytes)
    }
}
