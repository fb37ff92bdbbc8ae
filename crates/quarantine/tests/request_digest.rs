//! Digests of requests.

use celeryhaven_quarantine::RequestDigest;

#[test]
fn of_same_content() {
    let digest = || RequestDigest::of(["POST", "h", "/a/", "org"], b"body");
    assert_eq!(digest(), digest());
}

/// Requests of two organisations, or with text moved between parts, must not be confused.
#[test]
fn of_other_content() {
    let digest = RequestDigest::of(["POST", "h", "/a/", "org"], b"body");
    let others = [
        RequestDigest::of(["POST", "h", "/a/", "other"], b"body"),
        RequestDigest::of(["POST", "h", "/a/o", "rg"], b"body"),
        RequestDigest::of(["POST", "h", "/a/", "org"], b"bodY"),
        RequestDigest::of(["POST", "h", "/a/", "orgbody"], b""),
    ];
    others.iter().for_each(|other| assert_ne!(*other, digest));
}

#[test]
fn parse_invalid_text() {
    for text in ["", "00", "zz112233445566778899aabbccddeeff", "é0112233445566778899aabbccddeef"] {
        assert!(text.parse::<RequestDigest>().is_err(), "{text}");
    }
}
