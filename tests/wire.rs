//! Property tests of the wire formats: forged, altered, truncated and replayed datagrams are
//! rejected, and no packet of one service reaches another.

use std::net::SocketAddrV4;

use bamboowind::{
    balancer::route::{Decision, DropReason, RoutingInput, decide, decide_datagram},
    wire::{
        connection_id::{self, CONNECTION_ID_LEN, Epoch, Route},
        envelope::{self, BodyKind, Header},
        gso_batch::GsoBatch,
        key_ring::{KeyRing, PhaseKeys},
        replay::ReplayFilter,
    },
};
use proptest::prelude::*;

/// A key ring of pairs of a phase and the byte that its secret repeats.
fn key_ring(secrets: &[(u8, u8)], current_phase: u8) -> KeyRing {
    let phases = secrets
        .iter()
        .map(|&(phase, byte)| PhaseKeys::new(phase, &[byte; 32]));
    KeyRing::new(phases.collect(), current_phase).expect("invalid key ring")
}

fn any_route() -> impl Strategy<Value = Route> {
    (any::<u32>(), any::<u16>(), any::<u16>(), any::<u64>()).prop_map(
        |(ip, port, service, epoch)| Route {
            agent: SocketAddrV4::new(ip.into(), port),
            service,
            epoch: Epoch::from_ms(epoch),
        },
    )
}

fn any_header() -> impl Strategy<Value = Header> {
    let kind = prop_oneof![
        Just(BodyKind::Forward),
        Just(BodyKind::Reply),
        Just(BodyKind::Control)
    ];
    (kind, any::<u16>(), any::<u64>(), any::<u64>()).prop_map(
        |(kind, service, sender, sequence)| Header {
            kind,
            service,
            sender,
            sequence,
        },
    )
}

proptest! {
    #[test]
    fn sealed_route_opens_while_its_key_phase_is_in_the_ring(
        route in any_route(),
        nonce in any::<u32>(),
    ) {
        let id = connection_id::seal(&key_ring(&[(1, 7)], 1), &route, nonce);
        prop_assert_eq!(connection_id::open(&key_ring(&[(1, 7)], 1), &id), Some(route));
        prop_assert_eq!(connection_id::open(&key_ring(&[(1, 7), (2, 9)], 2), &id), Some(route));
        prop_assert_eq!(connection_id::open(&key_ring(&[(2, 9)], 2), &id), None);
    }

    #[test]
    fn packet_for_one_service_never_reaches_another(
        route in any_route(),
        nonce in any::<u32>(),
        service in any::<u16>(),
        may_open_flow in any::<bool>(),
    ) {
        let ring = key_ring(&[(1, 7)], 1);
        let token = connection_id::seal(&ring, &route, nonce);
        let decision = decide(&ring, RoutingInput { service, token: &token, may_open_flow });
        let expected = if service == route.service {
            Decision::Forward(route)
        } else {
            Decision::Drop(DropReason::WrongService)
        };
        prop_assert_eq!(decision, expected);
    }

    #[test]
    fn caller_cannot_choose_an_agent(
        mut id in prop::collection::vec(any::<u8>(), CONNECTION_ID_LEN),
        service in any::<u16>(),
    ) {
        id[0] = 1;
        let input = RoutingInput { service, token: &id, may_open_flow: false };
        let decision = decide(&key_ring(&[(1, 7)], 1), input);
        prop_assert!(!matches!(decision, Decision::Forward(_)));
    }

    #[test]
    fn random_datagrams_are_never_forwarded(
        datagram in prop::collection::vec(any::<u8>(), 0..2000),
        service in any::<u16>(),
    ) {
        let decision = decide_datagram(&key_ring(&[(1, 7)], 1), service, &datagram);
        prop_assert!(!matches!(decision, Decision::Forward(_)));
    }

    #[test]
    fn envelope_opens_to_the_sealed_header_and_body(
        header in any_header(),
        body in prop::collection::vec(any::<u8>(), 0..3000),
    ) {
        let ring = key_ring(&[(1, 7), (2, 9)], 2);
        let mut datagram = Vec::new();
        envelope::seal_into(ring.current(), &header, &[&body], &mut datagram);
        prop_assert_eq!(envelope::open(&ring, &datagram), Ok((header, &body[..])));
    }

    #[test]
    fn altered_or_truncated_envelope_is_rejected(
        header in any_header(),
        body in prop::collection::vec(any::<u8>(), 40..200),
        position in any::<prop::sample::Index>(),
        flip in 1..=u8::MAX,
        kept_len in any::<prop::sample::Index>(),
    ) {
        let ring = key_ring(&[(1, 7)], 1);
        let mut datagram = Vec::new();
        envelope::seal_into(ring.current(), &header, &[&body], &mut datagram);
        prop_assert!(envelope::open(&ring, &datagram[..kept_len.index(datagram.len())]).is_err());
        // The envelope authenticates only the first 40 bytes of a body that carries a packet; QUIC
        // authenticates the rest.
        let authenticated_len = match header.kind {
            BodyKind::Control => datagram.len(),
            BodyKind::Forward | BodyKind::Reply => envelope::HEADER_LEN + 40,
        };
        datagram[position.index(authenticated_len)] ^= flip;
        prop_assert!(envelope::open(&ring, &datagram).is_err());
    }

    #[test]
    fn random_envelopes_are_rejected(datagram in prop::collection::vec(any::<u8>(), 0..3000)) {
        prop_assert!(envelope::open(&key_ring(&[(1, 7)], 1), &datagram).is_err());
    }

    #[test]
    fn encoded_address_decodes_to_itself(ip in any::<std::net::IpAddr>(), port in any::<u16>()) {
        let address = std::net::SocketAddr::new(ip.to_canonical(), port);
        let mut body = envelope::encode_address(address).to_vec();
        body.extend(b"packet");
        prop_assert_eq!(envelope::split_packet(&body), Some((address, &b"packet"[..])));
    }

    #[test]
    fn each_sequence_number_is_accepted_at_most_once(
        sequences in prop::collection::vec((0..4_u64, 0..3000_u64), 0..2000),
    ) {
        let mut filter = ReplayFilter::new(4);
        let mut accepted = Vec::new();
        for pair in sequences {
            if filter.accept(pair.0, pair.1) {
                prop_assert!(!accepted.contains(&pair), "{:?} was accepted twice", pair);
                accepted.push(pair);
            }
        }
    }

    // The sum of a sequence number and the length of the window exceeds its type.
    #[test]
    fn sequence_numbers_at_the_end_of_their_range_are_accepted_once(
        distances in prop::collection::vec(0..2_000_u64, 1..200),
    ) {
        let mut filter = ReplayFilter::new(1);
        let mut accepted = Vec::new();
        for distance in distances {
            let sequence = u64::MAX - distance;
            let highest = accepted.iter().max().copied();
            if filter.accept(9, sequence) {
                prop_assert!(!accepted.contains(&sequence));
                accepted.push(sequence);
            } else {
                prop_assert!(accepted.contains(&sequence) || highest.unwrap() - sequence >= 1_024);
            }
        }
    }

    #[test]
    fn recent_sequence_numbers_are_accepted_in_any_order(
        order in Just((1..=1000_u64).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut filter = ReplayFilter::new(1);
        prop_assert!(order.iter().all(|&sequence| filter.accept(9, sequence)));
    }

    #[test]
    fn tracked_senders_are_limited(senders in prop::collection::vec(any::<u64>(), 0..500)) {
        let mut filter = ReplayFilter::new(16);
        for sender in senders {
            filter.accept(sender, 1);
            prop_assert!(filter.sender_count() <= 16);
        }
    }

    #[test]
    fn gso_batches_carry_every_datagram(
        lens in prop::collection::vec(1..1400_usize, 1..60),
    ) {
        let destination = "10.0.0.1:7000".parse().expect("invalid address");
        let mut batch = GsoBatch::default();
        let mut sent_lens = Vec::new();
        let mut flush = |batch: &mut GsoBatch| {
            if let Some(transmit) = batch.transmit() {
                let segment_len = transmit.segment_size.unwrap_or(transmit.contents.len());
                sent_lens.extend(transmit.contents.chunks(segment_len).map(<[u8]>::len));
            }
            batch.clear();
        };
        for &len in &lens {
            if !batch.fits(destination, len, 40) {
                flush(&mut batch);
            }
            batch.push(destination, len, |out| out.resize(out.len() + len, 0));
        }
        flush(&mut batch);
        prop_assert_eq!(sent_lens, lens);
    }
}
