//! Messages and frames on a link between two nodes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use celeryhaven_link::{LinkError, LinkLimits};
use common::pair;

#[test]
fn message_small_and_large() {
    smol::block_on(async {
        let (dialled, accepted) = pair(LinkLimits::default()).await;
        let messages = [10, 1_099, 5_000, 1 << 20].map(|size| vec![7_u8; size]);
        for message in &messages {
            dialled.send(message).await.unwrap();
            assert_eq!(&accepted.receive::<Vec<u8>>().await.unwrap(), message);
        }
    });
}

#[test]
fn message_too_large() {
    smol::block_on(async {
        let (dialled, _accepted) = pair(LinkLimits::default()).await;
        let error = dialled.send(&vec![0_u8; 2 << 20]).await.unwrap_err();
        assert!(matches!(error, LinkError::TooLarge { .. }), "{error}");
    });
}

/// A message of another version must not close the link and fail the delegated requests on it.
#[test]
fn message_not_decodable() {
    smol::block_on(async {
        let (dialled, accepted) = pair(LinkLimits::default()).await;
        dialled.send(&255_u8).await.unwrap();
        let error = accepted.receive::<Option<bool>>().await.unwrap_err();
        assert!(matches!(error, LinkError::Decode { .. }), "{error}");
        dialled.send(&Some(true)).await.unwrap();
        assert_eq!(accepted.receive::<Option<bool>>().await.unwrap(), Some(true));
    });
}

#[test]
fn frames_round_trip() {
    smol::block_on(async {
        let (dialled, accepted) = pair(LinkLimits::default()).await;
        let requesting = async {
            let mut frames = dialled.open().await.unwrap();
            frames.send(&"request".to_string()).await.unwrap();
            frames.finish().unwrap();
            let first: Option<String> = frames.receive().await.unwrap();
            let second: Option<String> = frames.receive().await.unwrap();
            (first, second)
        };
        let answering = async {
            let mut frames = accepted.accept().await.unwrap();
            let request: Option<String> = frames.receive().await.unwrap();
            frames.send(&request.unwrap().to_uppercase()).await.unwrap();
            frames.finish().unwrap();
            frames
        };
        let (answer, _responder) = smol::future::zip(requesting, answering).await;
        assert_eq!(answer, (Some("REQUEST".into()), None));
    });
}

/// A peer that announces a frame and never sends it would occupy memory and a task indefinitely.
#[test]
fn frame_too_large_and_too_slow() {
    smol::block_on(async {
        let limits =
            LinkLimits { transfer_ms: 200, ..LinkLimits::default().with_frame_bytes(1_000) };
        let (dialled, accepted) = pair(limits).await;
        let mut sending = dialled.open().await.unwrap();
        let error = sending.send(&vec![0_u8; 2_000]).await.unwrap_err();
        assert!(matches!(error, LinkError::TooLarge { .. }), "{error}");
        sending.send(&1_u8).await.unwrap();
        let mut receiving = accepted.accept().await.unwrap();
        assert_eq!(receiving.receive::<u8>().await.unwrap(), Some(1));
        let timeout = receiving.receive_within::<u8>(100).await.unwrap_err();
        assert!(matches!(timeout, LinkError::TimedOut { limit_ms: 100, .. }), "{timeout}");
    });
}
