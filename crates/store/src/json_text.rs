use std::borrow::Cow;

/// Returns JSON as text, so that bytes that it must not hold spoil only the strings that hold them.
///
/// Bytes that are not UTF-8 are replaced. So are control characters, which JSON allows only between
/// values, where a blank means the same.
pub(crate) fn json_text(body: &[u8]) -> Cow<'_, str> {
    let text = String::from_utf8_lossy(body);
    match text.bytes().any(|byte| byte < b' ') {
        true => text.replace(|char| char < ' ', " ").into(),
        false => text,
    }
}
