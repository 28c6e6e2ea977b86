//! Renewals that a leader holds, in a cell of one node.

#![allow(clippy::panic, reason = "a test ends at a fault")]

mod solo;

use gentianlane::api::{Announce, Call, Renew, Reply};
use gentianlane::cell::Ticket;
use gentianlane::unit::{Size, Span};
use gentianlane::verdict::Reason;
use gentianlane::{id, lease};
use solo::Solo;

const SEED: u64 = 3;

/// A node that leads and knows one worker.
struct Leader {
    solo: Solo,
}

impl Leader {
    fn new() -> Self {
        let solo = Solo::new(SEED);
        let mut leader = Self { solo };
        leader.announce(1);
        leader
    }

    fn pass(&mut self, span: Span) -> Vec<(Ticket, Reply)> {
        self.solo.pass(span)
    }

    fn announce(&mut self, incarnation: u64) -> Vec<(Ticket, Reply)> {
        let announce = Announce {
            worker: "w".into(),
            incarnation: id::Incarnation(incarnation),
            size: Size::new(1_000, 1_000, 0),
            region: "r".into(),
            domain: "d".into(),
            rack: "k".into(),
            address: String::new(),
        };
        let call = Call::Announce(announce);
        self.solo.call(1, call);
        self.pass(Span::from_millis(100))
    }

    fn renew(&mut self, ticket: u64, hold: Span) -> Vec<(Ticket, Reply)> {
        self.renew_with(ticket, hold, Vec::new(), None)
    }

    fn renew_with(
        &mut self,
        ticket: u64,
        hold: Span,
        running: Vec<id::Token>,
        unchanged: Option<lease::Fingerprint>,
    ) -> Vec<(Ticket, Reply)> {
        let renew = Renew {
            worker: "w".into(),
            incarnation: id::Incarnation(1),
            running,
            unchanged,
            used: Size::default(),
            hold,
        };
        let call = Call::Renew(renew);
        self.solo.call(ticket, call);
        self.pass(Span::from_millis(100))
    }
}

fn is_lost(reply: &Reply) -> bool {
    matches!(reply, Reply::Refused(refusal) if refusal.outcome.reason == Reason::WorkerLost)
}

#[test]
fn a_renewal_is_held_for_a_part_of_the_lease_only() {
    let mut leader = Leader::new();
    assert_eq!(leader.renew(2, Span::from_secs(30)), []);
    let part = Span::from_millis(lease::Timing::default().duration.as_millis() / 4);
    let replies = leader.pass(part);
    assert!(
        matches!(replies[..], [(Ticket(2), Reply::Lease(_))]),
        "{replies:?}"
    );
}

#[test]
fn a_held_renewal_of_an_earlier_life_is_refused() {
    let mut leader = Leader::new();
    assert_eq!(leader.renew(2, Span::from_secs(2)), []);
    let replies = leader.announce(2);
    let refused =
        |(ticket, reply): &(Ticket, Reply)| *ticket == Ticket(2) && is_lost(reply);
    assert!(replies.iter().any(refused), "{replies:?}");
    assert!(is_lost(&leader.renew(3, Span::from_secs(2))[0].1));
}

#[test]
fn a_newer_renewal_takes_the_place_of_the_held_one() {
    let mut leader = Leader::new();
    assert_eq!(leader.renew(2, Span::from_secs(2)), []);
    let replies = leader.renew(3, Span::from_secs(2));
    assert!(
        matches!(replies[..], [(Ticket(2), Reply::Refused(_))]),
        "{replies:?}"
    );
    let replies = leader.pass(Span::from_secs(3));
    assert!(
        matches!(replies[..], [(Ticket(3), Reply::Lease(_))]),
        "{replies:?}"
    );
}

#[test]
fn tokens_are_listed_again_only_when_the_leader_does_not_know_their_mark() {
    let mut leader = Leader::new();
    let stray = id::Token::default();
    let mark = lease::Fingerprint::of(&[stray]);
    let lease = |replies: Vec<(Ticket, Reply)>| match replies.into_iter().next() {
        Some((_, Reply::Lease(lease))) => lease,
        other => panic!("{other:?}"),
    };
    let unknown = lease(leader.renew_with(2, Span::ZERO, Vec::new(), Some(mark)));
    assert!(unknown.resend && unknown.orders.is_empty(), "{unknown:?}");
    let listed = lease(leader.renew_with(3, Span::ZERO, vec![stray], None));
    assert!(!listed.resend && listed.orders.len() == 1, "{listed:?}");
    let known = lease(leader.renew_with(4, Span::ZERO, Vec::new(), Some(mark)));
    assert_eq!(known, listed);
    let other = Some(lease::Fingerprint::of(&[]));
    let other = lease(leader.renew_with(5, Span::ZERO, Vec::new(), other));
    assert!(other.resend && other.orders.is_empty(), "{other:?}");
}
