//! Digests of requests.

use celeryhaven_quarantine::CauseDigest;

#[test]
fn of_same_content() {
    let digest = || CauseDigest::of_request(["POST", "h", "/a/", "org"], b"body");
    assert_eq!(digest(), digest());
}

/// Requests of two organisations, or with text moved between parts, must not be confused.
#[test]
fn of_other_content() {
    let digest = CauseDigest::of_request(["POST", "h", "/a/", "org"], b"body");
    let others = [
        CauseDigest::of_request(["POST", "h", "/a/", "other"], b"body"),
        CauseDigest::of_request(["POST", "h", "/a/o", "rg"], b"body"),
        CauseDigest::of_request(["POST", "h", "/a/", "org"], b"bodY"),
        CauseDigest::of_request(["POST", "h", "/a/", "orgbody"], b""),
    ];
    others.iter().for_each(|other| assert_ne!(*other, digest));
}

#[test]
fn parse_invalid_text() {
    for text in ["", "00", "zz112233445566778899aabbccddeeff", "é0112233445566778899aabbccddeef"] {
        assert!(text.parse::<CauseDigest>().is_err(), "{text}");
    }
}
