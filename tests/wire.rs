//! Frames survive encoding and decoding, and a changed frame or one with an unknown key is refused.

use banyanwharf::{
    flow::Fingerprint,
    wire::{Body, Error, Frame, Hop, Keyring, Stage},
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
