//! The answer cut at every hop in turn.

use gentianlane::unit::Span;

use crate::world::{Hop, World};

/// How long an answer may take to come about.
const PATIENCE: Span = Span::from_secs(60);

const HOPS: [Hop; 6] = [
    Hop::Ask,
    Hop::Answer,
    Hop::Renew,
    Hop::Order,
    Hop::Result,
    Hop::Acknowledge,
];

/// Runs a workload with packets cut at a hop; how often its task ran.
fn runs(workload: &'static str, hop: Hop, cuts: u32, handover: bool) -> u32 {
    let mut world = World::new(3, 2, u64::from(cuts));
    world.net.snip = Some((hop, cuts));
    world.want(workload, "sleep=100", None);
    if handover {
        world.run(Span::from_millis(150));
        let leader = world.leader().unwrap_or_default();
        if let Some(node) = &mut world.hosts[leader].node {
            node.transfer_leadership();
        }
    }
    let heard = |world: &World| world.callers[0].heard > 0;
    assert!(world.until(PATIENCE, heard), "{}", world.describe());
    world.run(Span::from_secs(10));
    assert_eq!(world.oracle.faults, Vec::<String>::new());
    world.oracle.runs(&world.callers[0].wish.payload)
}

#[test]
fn run_once_work_runs_once_wherever_its_answer_is_cut() {
    for hop in HOPS {
        for cuts in 1..=5 {
            for handover in [false, true] {
                println!("{hop:?}, {cuts} cuts, handover {handover}");
                assert_eq!(runs("notice", hop, cuts, handover), 1);
            }
        }
    }
}

#[test]
fn idempotent_work_is_answered_wherever_its_answer_is_cut() {
    for hop in HOPS {
        for cuts in 1..=5 {
            for handover in [false, true] {
                println!("{hop:?}, {cuts} cuts, handover {handover}");
                assert!((1..=3).contains(&runs("batch", hop, cuts, handover)));
            }
        }
    }
}
