use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use snafu::{Snafu, ensure};

/// Longest part of a field that is logged, in bytes.
const LOGGED_BYTES_MAX: usize = 64;

/// A head that HTTP does not allow, or that does not tell where its body ends.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum InvalidHead {
    /// The status is none of a final answer.
    #[snafu(display("status {status}; a final answer has one of 200 to 599"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The body is coded in a way that was not asked for, or that is not known.
    #[snafu(display("transfer-encoding `{found}`; only `chunked`, once, ends a body"))]
    TransferEncoding {
        /// The values of the field, separated by commas and shortened.
        found: String,
    },
    /// The length is no number, or there are several.
    #[snafu(display("content-length `{found}`; one number is expected"))]
    ContentLength {
        /// The values of the field, separated by commas and shortened.
        found: String,
    },
    /// The body has both a length and chunks.
    #[snafu(display(
        "content-length `{found}` beside transfer-encoding; only one of them is allowed"
    ))]
    LengthBesideChunks {
        /// The values of the length, separated by commas and shortened.
        found: String,
    },
    /// The status allows no body, and the head announces one.
    #[snafu(display("a body with status {status}, which allows none"))]
    BodyNotAllowed {
        /// The status.
        status: u16,
    },
}

/// Checks that a head is one of a final answer, and that the end of its body can be known.
///
/// An answer with neither a length nor chunks ends with its connection. A length that is repeated is
/// replaced by a single one. See RFC 9112, section 6, and RFC 9110, sections 8.6 and 15.
///
/// # Errors
///
/// Returns what the protocol does not allow.
pub(crate) fn check_head<B>(response: &mut Response<B>) -> Result<(), InvalidHead> {
    let status = response.status();
    let number = status.as_u16();
    ensure!((200..600).contains(&number), StatusSnafu { status: number });
    let headers = response.headers_mut();
    let length_bytes = content_length(headers)?;
    if headers.contains_key(TRANSFER_ENCODING) {
        ensure!(status != StatusCode::NO_CONTENT, BodyNotAllowedSnafu { status: number });
        let found = joined(headers, &TRANSFER_ENCODING);
        ensure!(found.eq_ignore_ascii_case("chunked"), TransferEncodingSnafu { found });
        let found = joined(headers, &CONTENT_LENGTH);
        ensure!(length_bytes.is_none(), LengthBesideChunksSnafu { found });
    }
    if let Some(length_bytes) = length_bytes {
        let is_allowed = status != StatusCode::NO_CONTENT || length_bytes == 0;
        ensure!(is_allowed, BodyNotAllowedSnafu { status: number });
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length_bytes));
    }
    Ok(())
}

/// Returns the length that a head states, which may be repeated.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, InvalidHead> {
    if !headers.contains_key(CONTENT_LENGTH) {
        return Ok(None);
    }
    let values = headers.get_all(CONTENT_LENGTH).iter();
    let mut lengths = values
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .map(|length| parse_length(length.trim_ascii()));
    let first = lengths.next().flatten();
    let is_repeated = first.is_some() && lengths.all(|length| length == first);
    let found = joined(headers, &CONTENT_LENGTH);
    ensure!(is_repeated, ContentLengthSnafu { found });
    Ok(first)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    // `u64::from_str` accepts a sign.
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    is_number.then(|| std::str::from_utf8(digits).ok()?.parse().ok())?
}

/// Returns the values of a field, separated by commas and shortened.
fn joined(headers: &HeaderMap, name: &HeaderName) -> String {
    let values = headers.get_all(name).iter();
    let mut joined = values
        .map(|value| value.as_bytes().escape_ascii().to_string())
        .collect::<Vec<_>>()
        .join(",");
    joined.truncate(LOGGED_BYTES_MAX);
    joined
}

impl InvalidHead {
    /// The reason, for metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Status { .. } => "status",
            _ => "framing",
        }
    }
}
