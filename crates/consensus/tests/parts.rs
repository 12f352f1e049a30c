//! Parts by themselves: a voter's file, and rights where answers are lost.

use sillward_consensus::kept::Kept;
use sillward_consensus::rights::{Granter, Holder};
use sillward_consensus::words::Ask;
use sillward_consensus::{Plant, Terms, majority};
use std::time::Duration;

const LOG: u64 = 7;

#[test]
fn a_file_that_is_torn_or_flipped_at_any_byte_is_as_good_as_lost() {
    let bytes = Kept::founded(LOG, 2, 5, 0x1234_5678_9abc).bytes();
    assert!(Kept::read(&bytes, LOG, 2, 5).is_ok());
    for at in 0..bytes.len() {
        assert!(Kept::read(&bytes[..at], LOG, 2, 5).is_err(), "cut at {at}");
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x10;
        assert!(Kept::read(&flipped, LOG, 2, 5).is_err(), "flipped at {at}");
    }
    for (log, place, voters) in [(8, 2, 5), (LOG, 3, 5), (LOG, 2, 3)] {
        assert!(Kept::read(&bytes, log, place, voters).is_err(), "another's");
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(number: u64, knows: u64) -> Ask {
    Ask {
        log: LOG,
        session: 5,
        number,
        knows,
    }
}

#[test]
fn an_answer_that_is_lost_takes_back_no_right_that_an_earlier_one_gave() {
    let terms = Terms::default();
    let mut granter: Granter<u8> = Granter::new(terms, LOG, 1, ms(0));
    let now = ms(10_000);
    granter.ask(now, &1, &ask(1, 1));
    granter.confirmed(2);
    // The node asks again, and does not hear that there is a version 2.
    granter.ask(now + ms(300), &1, &ask(2, 1));
    assert_eq!(granter.consent(now + ms(400)), 1);
    assert_eq!(granter.holding(now + ms(400)).len(), 1);
    assert_eq!(
        granter.consent(now + terms.hold()),
        2,
        "by then the first has run out"
    );
    // Had it heard, it would have said so.
    let mut granter: Granter<u8> = Granter::new(terms, LOG, 1, ms(0));
    granter.ask(now, &1, &ask(1, 1));
    granter.confirmed(2);
    granter.ask(now + ms(300), &1, &ask(2, 2));
    assert_eq!(granter.consent(now + ms(400)), 2);
}

#[test]
fn who_gets_no_right_holds_nothing_up_and_a_full_voter_says_so() {
    let terms = Terms {
        most: 2,
        ..Terms::default()
    };
    let mut granter: Granter<u8> = Granter::new(terms, LOG, 1, ms(0));
    let now = ms(10_000);
    assert!(granter.ask(now, &1, &ask(1, 1)).right && granter.ask(now, &2, &ask(1, 1)).right);
    assert!(!granter.ask(now, &3, &ask(1, 1)).right);
    assert_eq!((granter.refused, granter.out()), (1, 2));
}

#[test]
fn a_right_counts_from_the_asking_of_the_least_recent_of_a_majority() {
    for (plant, right) in [(None, false), (Some(Plant::FromArrival), true)] {
        let terms = Terms {
            plant,
            ..Terms::default()
        };
        let mut holder = Holder::new(terms, LOG, 5, 5, ms(0));
        let mut granter: Granter<u8> = Granter::new(terms, LOG, 1, ms(0));
        let asked = holder.turn(ms(10_000)).expect("it asks");
        let answer = granter.ask(ms(10_001), &1, &asked);
        (0..majority(5)).for_each(|voter| {
            assert!(voter < 5 && (holder.answer(ms(10_900), voter, &answer) || voter < 2))
        });
        assert!(holder.standing(ms(10_950)).right);
        assert_eq!(holder.standing(ms(10_995)).right, right, "{plant:?}");
    }
}
