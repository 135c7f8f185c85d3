//! Frames decode to what was encoded, however the stream is cut into chunks; any other bytes give an error, never a
//! panic.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use stairvale_types::{Class, Reason, Refusal, id};
use stairvale_wire::{ClaimVerdict, Frame, Packet, PermitRequest, Profile, StoredAnswer, Usage, Verdict, codec};

fn frames() -> Vec<Frame> {
    let upstream: id::Upstream = "engine-1".parse().unwrap();
    let attempt = id::Attempt(u128::MAX - 5);
    let ask = PermitRequest {
        attempt,
        profile: Profile {
            service: "chat".parse().unwrap(),
            customer: "c".parse().unwrap(),
            weight: 3,
            class: Class::Bulk,
            chat: Some(id::Chat(9)),
            returning: true,
        },
        upstream: upstream.clone(),
        first: true,
        patience: Duration::from_millis(300),
        deadline: Duration::from_secs(30),
    };
    let refusal = Refusal::new(Reason::Deadline, Duration::from_millis(1_500));
    let answer = |verdict| Frame::Answer { upstream: upstream.clone(), attempt, verdict };
    let stored =
        StoredAnswer { print: id::Print(1), status: 200, content_type: "text/plain".into(), body: Some("yes".into()) };
    vec![
        Frame::Ask(ask),
        answer(Verdict::Granted { outstanding: 4, over_share: true }),
        answer(Verdict::Refused(refusal)),
        answer(Verdict::Overflow { emptiest: vec![upstream.clone()] }),
        Frame::Usage(vec![Usage { customer: "c".parse().unwrap(), asked: 3, passed: 1, millionths: 250_000 }]),
        Frame::Share { customer: "c".parse().unwrap(), millionths: 250_000 },
        Frame::Noted { attempt },
        Frame::Loaded { upstream: upstream.clone(), model: "m".to_owned(), version: "1".to_owned() },
        Frame::Claimed { key: id::Key(7), attempt, verdict: ClaimVerdict::Ran(stored) },
        Frame::FetchManifest,
    ]
}

#[test]
fn a_permit_request_is_small() {
    let size = codec::encode(&frames()[0]).unwrap().len();
    assert!(size < 120, "a permit request takes {size} bytes; docs/CAPACITY.md assumes fewer than 120");
}

#[test]
fn a_hostile_length_prefix_is_rejected_before_the_body_arrives() {
    let mut buffer = codec::Buffer::default();
    buffer.extend(&u32::MAX.to_be_bytes());
    assert_eq!(buffer.take::<Frame>(), Err(codec::Error::Large(u32::MAX as usize)));
}

#[test]
fn a_hostile_length_inside_a_frame_allocates_no_memory() {
    // Replaces the length of the empty list by 2^60.
    let mut packed = codec::pack(&Frame::Release { upstream: "e".parse().unwrap(), attempts: Vec::new() }).unwrap();
    packed.pop();
    packed.extend_from_slice(&[253, 0, 0, 0, 0, 0, 0, 0, 16]);
    assert_eq!(codec::unpack::<Frame>(&packed), Err(codec::Error::Malformed));
}

quickcheck! {
    fn frames_decode_from_any_chunks(cuts: Vec<usize>) -> bool {
        let sent = frames();
        let bytes: Vec<u8> = sent.iter().flat_map(|frame| codec::encode(frame).unwrap().to_vec()).collect();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut % bytes.len()).collect();
        cuts.sort_unstable();
        cuts.push(bytes.len());
        let mut buffer = codec::Buffer::default();
        let mut received = Vec::new();
        let mut start = 0;
        for cut in cuts {
            buffer.extend(&bytes[start..cut]);
            start = cut;
            while let Some(frame) = buffer.take::<Frame>().unwrap() {
                received.push(frame);
            }
        }
        received == sent
    }

    fn any_bytes_decode_or_give_an_error(bytes: Vec<u8>) -> bool {
        let _ = codec::unpack::<Frame>(&bytes);
        let _ = codec::unpack::<Packet>(&bytes);
        let mut buffer = codec::Buffer::default();
        buffer.extend(&bytes);
        let _ = buffer.take::<Frame>();
        true
    }

    fn a_damaged_frame_decodes_or_gives_an_error(index: usize, at: usize, byte: u8) -> TestResult {
        let all = frames();
        let mut packed = codec::pack(&all[index % all.len()]).unwrap();
        let at = at % packed.len();
        packed[at] = byte;
        let _ = codec::unpack::<Frame>(&packed);
        TestResult::passed()
    }

    fn bytes_after_a_frame_are_an_error(extra: Vec<u8>) -> TestResult {
        if extra.is_empty() {
            return TestResult::discard();
        }
        let mut packed = codec::pack(&Frame::FetchVms).unwrap();
        packed.extend_from_slice(&extra);
        TestResult::from_bool(codec::unpack::<Frame>(&packed) == Err(codec::Error::Trailing(extra.len())))
    }
}
