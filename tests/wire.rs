//! Frames survive encoding and decoding, and a changed frame or one with an unknown key is refused.

use std::time::Duration;

use banyanwharf::{
    cookie::work::{FRAME_BYTES, REPORT_BYTES, Report},
    flow::Fingerprint,
    wire::{Body, Error, Frame, Hop, Keyring, Stage, TargetReport},
};

fn keyring(number: u8) -> Keyring {
    Keyring::new([(number, [number; 32])]).expect("the keyring has a key")
}

/// Guards against a codec that loses the packet after the body.
#[test]
fn hop_keeps_its_packet() {
    let body = Body::Hop(Hop {
        stage: Stage::Store { target: 9, replaces: None },
        hops_left: 3,
        trace: None,
    });
    let frame = Frame { sender: 1, body, packet: &[0x45, 1, 2, 3] };
    let mut buffer = Vec::new();
    frame.encode(&keyring(1), &mut buffer).expect("the frame is short");
    assert_eq!(Frame::decode(&buffer, &keyring(1)).expect("the frame is complete"), frame);
}

/// Guards against accepted frames that were changed in transit or signed with another key.
#[test]
fn changed_frames_are_refused() {
    bolero::check!().with_type::<(u16, u8)>().for_each(|&(position, xor_mask)| {
        let body = Body::Query { fingerprint: Fingerprint(77) };
        let frame = Frame { sender: 1, body, packet: &[] };
        let mut buffer = Vec::new();
        frame.encode(&keyring(1), &mut buffer).expect("the frame is short");
        assert!(matches!(Frame::decode(&buffer, &keyring(2)), Err(Error::UnknownKey(1))));
        let position = usize::from(position) % buffer.len();
        buffer[position] ^= xor_mask;
        assert_eq!(Frame::decode(&buffer, &keyring(1)).is_ok(), xor_mask == 0);
    });
}

/// Guards against panics on arbitrary datagrams.
#[test]
fn arbitrary_datagrams_do_not_panic() {
    bolero::check!().for_each(|bytes| {
        let _ = Frame::decode(bytes, &keyring(1));
    });
}

/// Guards against an encoder that overwrites earlier frames in a shared buffer.
#[test]
fn frames_share_a_buffer() {
    let (first, second) = (Fingerprint(1), Fingerprint(2));
    let frame = |fingerprint| Frame { sender: 1, body: Body::Query { fingerprint }, packet: &[] };
    let mut buffer = Vec::new();
    frame(first).encode(&keyring(1), &mut buffer).expect("the frame is short");
    let first_length = buffer.len();
    frame(second).encode(&keyring(1), &mut buffer).expect("the frame is short");
    assert_eq!(
        Frame::decode(&buffer[..first_length], &keyring(1)).expect("the first frame is complete"),
        frame(first)
    );
    assert_eq!(
        Frame::decode(&buffer[first_length..], &keyring(1)).expect("the second frame is complete"),
        frame(second)
    );
}

/// Guards against a key rotation during which daemons discard each other's frames: a new key must
/// not sign before all daemons have it.
#[test]
fn keys_rotate_in_three_steps() {
    let keys = [(1, [1; 32]), (2, [2; 32])];
    let [old, new] = [keyring(1), keyring(2)];
    let both_signing_new = Keyring::new(keys).expect("the keyring has two keys");
    let both_signing_old = both_signing_new.clone().sign_with(1).expect("the key is in the ring");
    assert!(matches!(both_signing_new.clone().sign_with(3), Err(Error::UnknownKey(3))));
    // Pairs of daemons that exchange frames during the restarts of one step.
    for (a, b) in [
        (&old, &both_signing_old),
        (&both_signing_old, &both_signing_new),
        (&both_signing_new, &new),
    ] {
        for (from, to) in [(a, b), (b, a)] {
            let frame = Frame { sender: 1, body: Body::CopyAck { sequence: 1 }, packet: &[] };
            let mut buffer = Vec::new();
            frame.encode(from, &mut buffer).expect("the frame is short");
            assert!(Frame::decode(&buffer, to).is_ok());
        }
    }
}

/// Guards against reports about targets that take more bytes than their budget assumes, or change
/// in transit by more than the steps of the code.
#[test]
fn a_target_report_takes_seven_bytes() {
    let report = |cookie, delay_factor, is_rejecting, age_ms| Report {
        cookie,
        delay_factor,
        is_rejecting,
        age: Duration::from_millis(age_ms),
    };
    let length = |reports: &[Report]| {
        let encoded = reports.iter().copied().map(TargetReport::from).collect();
        let frame = Frame { sender: u64::MAX, body: Body::TargetReports(encoded), packet: &[] };
        let mut buffer = Vec::new();
        frame.encode(&keyring(1), &mut buffer).expect("the frame is short");
        assert_eq!(Frame::decode(&buffer, &keyring(1)).expect("the frame is complete"), frame);
        buffer.len()
    };
    let headers_of_ip_and_udp = 28;
    let reports = vec![report(u32::MAX, 100.0, true, 60_000); 24];
    for count in [0, 1, 24] {
        let expected = FRAME_BYTES + count * REPORT_BYTES;
        assert_eq!(length(&reports[..count]) + headers_of_ip_and_udp, expected);
    }
    for delay_factor in [0.01, 0.42, 0.9, 1.0, 1.5, 2.4, 77.0] {
        let sent = report(9, delay_factor, delay_factor > 1.0, 999);
        let received = Report::from(TargetReport::from(sent));
        assert!((received.delay_factor / delay_factor - 1.0).abs() < 0.05, "{received:?}");
        assert_eq!(Report { delay_factor, ..received }, sent);
    }
    for (sent, received) in [(f32::INFINITY, 235.0), (0.0, 0.0039), (1e-9, 0.0039)] {
        let code = TargetReport::from(report(9, sent, false, u64::MAX));
        assert_eq!(code.age_ms, u16::MAX);
        assert!((Report::from(code).delay_factor / received - 1.0).abs() < 0.01);
    }
}

/// Guards against bodies that daemons of other versions take for another one: the codec identifies
/// a body by its position, and refuses a position that it does not know.
#[test]
fn target_reports_follow_the_bodies_of_earlier_versions() {
    #[derive(Debug, serde::Deserialize)]
    enum EarlierBody {
        Hop,
        FlowTarget,
        Query,
        Answer,
        Copy,
        CopyAck,
        Member,
        Spread,
        Load,
    }
    let position = |body: &Body| postcard::to_allocvec(body).expect("the body can be encoded")[0];
    assert_eq!(position(&Body::Load(Vec::new())), EarlierBody::Load as u8);
    let encoded = postcard::to_allocvec(&Body::TargetReports(Vec::new())).expect("it is short");
    assert!(postcard::from_bytes::<EarlierBody>(&encoded).is_err());
    let known: Vec<u8> = (0..=EarlierBody::Load as u8).collect();
    for position in known {
        assert!(postcard::from_bytes::<EarlierBody>(&[position]).is_ok());
    }
    let unknown = [encoded[0] + 1, 0];
    assert!(postcard::from_bytes::<Body>(&unknown).is_err());
}

/// Guards against panics and unbounded memory on reports of any content and length.
#[test]
fn arbitrary_target_reports_do_not_panic() {
    let position = postcard::to_allocvec(&Body::TargetReports(Vec::new())).expect("it is short")[0];
    bolero::check!().for_each(|bytes| {
        let body = [&[position], bytes].concat();
        if let Ok(Body::TargetReports(reports)) = postcard::from_bytes(&body) {
            assert!(reports.len() * REPORT_BYTES <= bytes.len());
            for report in reports.into_iter().map(Report::from) {
                assert!(report.delay_factor.is_finite() && report.delay_factor > 0.0);
            }
        }
    });
}
