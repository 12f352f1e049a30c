//! Damage to a voter's file, and the lease protocol between one granter and one holder.

use sillward_consensus::lease::{LeaseGranter, LeaseHolder};
use sillward_consensus::messages::LeaseRequest;
use sillward_consensus::voter_state::VoterState;
use sillward_consensus::{InjectedBug, Timing, majority};
use std::time::Duration;

const LOG: u64 = 7;

#[test]
fn rejects_a_file_truncated_or_damaged_at_any_byte() {
    let bytes = VoterState::initial(LOG, 2, 5, 0x1234_5678_9abc).encode();
    assert!(VoterState::decode(&bytes, LOG, 2, 5).is_ok());
    for at in 0..bytes.len() {
        assert!(
            VoterState::decode(&bytes[..at], LOG, 2, 5).is_err(),
            "truncated at {at}"
        );
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x10;
        assert!(
            VoterState::decode(&flipped, LOG, 2, 5).is_err(),
            "bit flipped in byte {at}"
        );
    }
    for (log, place, voters) in [(8, 2, 5), (LOG, 3, 5), (LOG, 2, 3)] {
        assert!(
            VoterState::decode(&bytes, log, place, voters).is_err(),
            "belongs to another voter or log"
        );
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(number: u64, known_version: u64) -> LeaseRequest {
    LeaseRequest {
        log_id: LOG,
        session: 5,
        number,
        known_version,
    }
}

#[test]
fn lost_response_leaves_earlier_lease_outstanding() {
    let timing = Timing::default();
    let mut granter: LeaseGranter<u8> = LeaseGranter::new(timing, LOG, 1, ms(0));
    let now = ms(10_000);
    granter.handle_request(now, &1, &request(1, 1));
    granter.on_committed(2);
    // The response that names version 2 is lost, and the node requests again without knowing that version.
    granter.handle_request(now + ms(300), &1, &request(2, 1));
    assert_eq!(granter.consented(now + ms(400)), 1);
    assert_eq!(granter.blocking_leases(now + ms(400)).len(), 1);
    assert_eq!(
        granter.consented(now + timing.grant_duration()),
        2,
        "the first lease has expired"
    );
    // A node that has received the response reports version 2 with its next request.
    let mut granter: LeaseGranter<u8> = LeaseGranter::new(timing, LOG, 1, ms(0));
    granter.handle_request(now, &1, &request(1, 1));
    granter.on_committed(2);
    granter.handle_request(now + ms(300), &1, &request(2, 2));
    assert_eq!(granter.consented(now + ms(400)), 2);
}

#[test]
fn rejects_leases_beyond_the_limit() {
    let timing = Timing {
        max_leases: 2,
        ..Timing::default()
    };
    let mut granter: LeaseGranter<u8> = LeaseGranter::new(timing, LOG, 1, ms(0));
    let now = ms(10_000);
    assert!(
        granter.handle_request(now, &1, &request(1, 1)).granted
            && granter.handle_request(now, &2, &request(1, 1)).granted
    );
    assert!(!granter.handle_request(now, &3, &request(1, 1)).granted);
    assert_eq!((granter.rejected, granter.outstanding()), (1, 2));
}

#[test]
fn lease_counts_from_the_oldest_request_of_a_majority() {
    for (injected_bug, has_lease) in [(None, false), (Some(InjectedBug::LeaseFromArrival), true)] {
        let timing = Timing {
            injected_bug,
            ..Timing::default()
        };
        let mut holder = LeaseHolder::new(timing, LOG, 5, 5, ms(0));
        let mut granter: LeaseGranter<u8> = LeaseGranter::new(timing, LOG, 1, ms(0));
        let request = holder.take_request(ms(10_000)).expect("a request is due");
        let response = granter.handle_request(ms(10_001), &1, &request);
        (0..majority(5)).for_each(|voter| {
            assert!(
                voter < 5 && (holder.handle_response(ms(10_900), voter, &response) || voter < 2)
            )
        });
        assert!(holder.status(ms(10_950)).has_lease);
        assert_eq!(
            holder.status(ms(10_995)).has_lease,
            has_lease,
            "{injected_bug:?}"
        );
    }
}
