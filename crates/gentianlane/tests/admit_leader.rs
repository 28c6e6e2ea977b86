//! What a leader takes in of teams that ask for more than there is room for,
//! in a cell of one node.

#![allow(clippy::panic, reason = "a test ends at a fault")]

mod solo;

use gentianlane::api::{Call, NoteText, Reply, Submit};
use gentianlane::id;
use gentianlane::unit::Span;
use gentianlane::verdict::{Reason, Verdict};
use solo::{STEP, Solo, WALL};

const SEED: u64 = 5;

const NOTE: &str = r#"{"number": 1, "base": 0, "add": {"workloads": {"batch":
    {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": true}}}}"#;

/// A node that leads and has no worker, so that all that comes waits.
struct Leader {
    solo: Solo,
    calls: u64,
}

impl Leader {
    fn new() -> Self {
        let solo = Solo::new(SEED);
        let mut leader = Self { solo, calls: 0 };
        let text = NOTE.to_owned();
        leader.call(Call::Note(NoteText { text }));
        leader.step();
        assert_eq!(leader.solo.node.state().catalog().revision().0, 1);
        leader
    }

    fn step(&mut self) -> Vec<Reply> {
        let replies = self.solo.pass(STEP).into_iter();
        replies.map(|(_, reply)| reply).collect()
    }

    fn call(&mut self, call: Call) {
        self.calls += 1;
        self.solo.call(self.calls, call);
    }

    /// Asks for work so many times, and gives the refusals for good measure.
    fn ask(&mut self, team: &str, times: usize) -> Vec<Reply> {
        for _ in 0..times {
            let mut random = [0; 10];
            random[2..].copy_from_slice(&(self.calls * 7_919).to_be_bytes());
            self.call(Call::Submit(Submit {
                key: id::Key::new(WALL, &random),
                team: team.into(),
                workload: "batch".into(),
                payload: String::new(),
                count: None,
                deadline: None,
                trace: None,
                hold: Span::ZERO,
            }));
        }
        let mut replies = self.step();
        replies.retain(|reply| match reply {
            Reply::Refused(refusal) => refusal.outcome.reason != Reason::Pending,
            _ => true,
        });
        replies
    }
}

#[test]
fn a_greedy_team_leaves_room_for_the_others() {
    let mut leader = Leader::new();
    let refused: Vec<Reply> = (0..80).flat_map(|_| leader.ask("greedy", 500)).collect();
    assert!(
        !refused.is_empty(),
        "40,000 requests are more than there is room for"
    );
    let mut returns = Vec::new();
    for reply in &refused {
        let Reply::Refused(refusal) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(refusal.outcome.reason, Reason::Quota);
        assert_eq!(refusal.outcome.verdict, Verdict::NotRun);
        returns.push(refusal.outcome.retry_after);
    }
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 100, "they don't all come back at once");
    let taken = leader.solo.node.state().open_requests(&"greedy".into());
    assert_eq!(leader.ask("modest", 500), []);
    assert_eq!(
        leader.solo.node.state().open_requests(&"modest".into()),
        500
    );
    assert!(taken > 10_000, "{taken} were taken while room lay idle");
}
