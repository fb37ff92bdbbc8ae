use std::fmt;

/// Longest part of an id that is logged, in bytes.
const LOGGED_BYTES_MAX: usize = 64;

/// Which request an answer says that it belongs to.
///
/// ```
/// use celeryhaven_gateway::AnswerIdentity;
/// let late = AnswerIdentity::Id("r-1".into());
/// assert!(late.is_of(Some("r-1")));
/// assert!(!late.is_of(Some("r-2")));
/// assert!(!late.is_of(None));
/// assert!(!AnswerIdentity::Absent.is_of(Some("r-2")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AnswerIdentity {
    /// It bears no id, or an empty one.
    #[default]
    Absent,
    /// It bears the id of this request.
    Id(String),
    /// It bears several ids, or one that is not text.
    Invalid,
}

impl AnswerIdentity {
    /// Whether the answer belongs to a request with this id, or to one that was sent without.
    ///
    /// Targets may send an answer late, in place of the next one; they echo the id of each request.
    pub fn is_of(&self, request_id: Option<&str>) -> bool {
        match (self, request_id) {
            (Self::Id(id), Some(request_id)) => id == request_id,
            (Self::Absent, None) => true,
            _ => false,
        }
    }
}

/// Writes the id for logs, shortened.
impl fmt::Display for AnswerIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Invalid => f.write_str("invalid"),
            Self::Id(id) => f.write_str(&id[..id.floor_char_boundary(LOGGED_BYTES_MAX)]),
        }
    }
}
