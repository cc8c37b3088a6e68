//! Frames are bounded and versioned, and decoding arbitrary bytes never panics.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use turnford_fleet::ClaimOwner;
use turnford_fleet::ClaimRequest;
use turnford_fleet::ConfigDigest;
use turnford_fleet::LoadDigest;
use turnford_fleet::Rumor;
use turnford_fleet::ServiceLoad;
use turnford_wire::decode_reply;
use turnford_wire::decode_request;
use turnford_wire::encode_request;
use turnford_wire::FrameError;
use turnford_wire::PeerRequest;
use turnford_wire::FRAME_LIMIT;
use turnford_wire::PROTOCOL_VERSION;

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn request() -> impl Strategy<Value = PeerRequest> {
    let name = "[a-z]{1,12}";
    prop_oneof![
        any::<u64>().prop_map(|after| PeerRequest::ConfigPull { after }),
        name.prop_map(|after| PeerRequest::MemberPull { after }),
        (any::<[u8; 16]>(), any::<u64>(), any::<u64>()).prop_map(|(key, incarnation, sequence)| {
            PeerRequest::Claim(ClaimRequest::Acquire(
                key,
                ClaimOwner {
                    incarnation,
                    sequence,
                },
            ))
        }),
        (name, name, any::<u64>()).prop_map(|(service, target, event)| {
            PeerRequest::Rumors(vec![Rumor::Leaving {
                service,
                target,
                event,
            }])
        }),
        (
            name,
            prop::collection::vec((any::<u16>(), any::<u16>()), 0..20)
        )
            .prop_map(|(node, inflight)| {
                let services = vec![ServiceLoad {
                    service: "kort".to_owned(),
                    backlog_ms: 7,
                    mean_ms: 700,
                    inflight,
                }];
                PeerRequest::Digest {
                    node,
                    digest: LoadDigest {
                        sequence: 1,
                        incarnation: 2,
                        services,
                    },
                }
            }),
    ]
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn round_trip(request in request()) {
        let frame = encode_request(&request).expect("a small message should fit");
        prop_assert_eq!(decode_request(&frame), Ok(request));
    }

    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        // Decoding returns a message or an error, whatever the input.
        let _ = decode_request(&bytes);
        let mut versioned = vec![PROTOCOL_VERSION];
        versioned.extend(bytes);
        let _ = decode_request(&versioned);
        let _ = decode_reply(&versioned);
    }

    #[test]
    fn truncated_frame(request in request(), part in 0.0_f64..1.0) {
        let frame = encode_request(&request).expect("a small message should fit");
        let length = (frame.len() as f64 * part) as usize;
        prop_assert!(decode_request(&frame[..length]).is_err());
    }
}

#[test]
fn unsupported_version() {
    let mark = ConfigDigest::default();
    let ping = PeerRequest::Ping {
        gossip: Vec::new(),
        digest: mark,
        members: 0,
    };
    let mut frame = encode_request(&ping).expect("a small message should fit");
    for version in [0, PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1] {
        frame[0] = version;
        assert_eq!(
            decode_request(&frame),
            Err(FrameError::UnsupportedVersion(version))
        );
    }
}

#[test]
fn oversized_frame() {
    let after = "x".repeat(FRAME_LIMIT);
    let request = PeerRequest::MemberPull { after };
    assert_eq!(encode_request(&request), Err(FrameError::TooLarge));
    assert_eq!(
        decode_request(&vec![PROTOCOL_VERSION; FRAME_LIMIT + 1]),
        Err(FrameError::TooLarge)
    );
}

#[test]
fn oversized_length_prefix() {
    // A short frame with a huge length prefix must not cause an allocation of that size.
    let mut frame = vec![PROTOCOL_VERSION, 2];
    frame.extend([253, 255, 255, 255, 255, 255, 255, 255, 127]);
    assert_eq!(decode_request(&frame), Err(FrameError::Malformed));
}
