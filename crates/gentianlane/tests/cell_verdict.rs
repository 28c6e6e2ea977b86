//! What the state says of a request, command by command.
#![allow(clippy::expect_used, reason = "a test ends at a fault")]

use gentianlane::api::{Announce, Answer, Ending, Finish, Output, Reply, Submit};
use gentianlane::cell::{Command, Effect, Event, State};
use gentianlane::id::{self, Attempt, Incarnation, Job, Task, Token};
use gentianlane::note::Note;
use gentianlane::unit::{Size, Span, Wall};
use gentianlane::verdict::{Outcome, Reason};

const NOTE: &str = r#"{"number": 1, "base": 0, "add": {"workloads": {
    "notice": {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": false},
    "batch": {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": true},
    "duo": {"kind": "gang", "count": 2, "size": {"cpu": 1, "memory": 1}, "idempotent": false},
    "listener": {"kind": "service", "size": {"cpu": 1, "memory": 1}, "idempotent": false, "team": "norrvik"}
}}}"#;

/// The civil time of every command.
const AT: Wall = Wall::from_millis(1_800_000_000_000);

/// A state with one worker and one job, which is the last that came.
struct Cell {
    state: State,
    job: Job,
    key: id::Key,
}

impl Cell {
    fn new(workload: &str) -> Self {
        let mut state = State::default();
        let note = Note::read(NOTE).expect("the note reads well");
        state.apply(Command::Note(Box::new(note)));
        assert_eq!(state.catalog().revision().0, 1, "the note is in force");
        state.apply(Command::Announce(announce(1, 10)));
        let key = key(0);
        let effect = state.apply(submit(key, workload));
        let job = match effect.events.first() {
            Some(Event::JobQueued(job)) => *job,
            _ => Job(0),
        };
        Self { state, job, key }
    }

    fn start(&mut self, attempt: u64) -> Effect {
        let count = self.state.job(self.job).map_or(0, |job| job.spec.count);
        let worker = (id::Worker::from("w"), Incarnation(1));
        self.state.apply(Command::Start {
            job: self.job,
            attempt: Attempt(attempt),
            workers: vec![worker; count as usize],
        })
    }

    fn finish(&mut self, rank: u32, attempt: u64, ending: Ending) -> Option<Outcome> {
        let finish = finish(self.token(rank, attempt), ending, "out");
        answer(&self.state.apply(Command::Finish(finish)))
    }

    fn token(&self, rank: u32, attempt: u64) -> Token {
        let task = Task {
            job: self.job,
            rank,
        };
        let attempt = Attempt(attempt);
        Token { task, attempt }
    }

    fn cancel(&mut self) -> Option<Outcome> {
        let key = self.key;
        answer(&self.state.apply(Command::Cancel { at: AT, key }))
    }

    fn lose(&mut self, unsent: Vec<Token>) -> Option<Outcome> {
        answer(&self.state.apply(Command::RemoveWorker {
            worker: id::Worker::from("w"),
            incarnation: Incarnation(1),
            unsent,
        }))
    }
}

fn key(seconds: u64) -> id::Key {
    id::Key::new(AT.after(Span::from_secs(seconds)), &[3; 10])
}

fn announce(incarnation: u64, cpu: u64) -> Announce {
    Announce {
        worker: id::Worker::from("w"),
        incarnation: Incarnation(incarnation),
        size: Size::new(cpu, 10, 0),
        region: id::Region::default(),
        domain: id::Domain::from("d"),
        rack: id::Rack::from("k"),
        address: String::new(),
    }
}

fn submit(key: id::Key, workload: &str) -> Command {
    let submit = Submit {
        key,
        team: id::Team::from("town"),
        workload: id::Workload::from(workload),
        payload: String::new(),
        count: None,
        deadline: None,
        trace: None,
        hold: Span::ZERO,
    };
    Command::Submit { at: AT, submit }
}

fn finish(token: Token, ending: Ending, text: &str) -> Finish {
    Finish {
        worker: id::Worker::from("w"),
        incarnation: Incarnation(1),
        token,
        ending,
        output: Output::new(text.to_owned()),
    }
}

/// The outcome that an effect gives a request for good.
fn answer(effect: &Effect) -> Option<Outcome> {
    let answered = effect.events.iter().find_map(|event| match event {
        Event::RequestAnswered(answer) => Some(answer.outcome.clone()),
        _ => None,
    });
    let replied = match &effect.reply {
        Reply::Answer(answer) => Some(answer.outcome.clone()),
        _ => None,
    };
    answered.or(replied)
}

fn refused(effect: &Effect) -> Option<Outcome> {
    match &effect.reply {
        Reply::Refused(refusal) => Some(refusal.outcome.clone()),
        _ => None,
    }
}

#[test]
fn a_job_whose_attempts_never_began_was_not_run() {
    let mut cell = Cell::new("notice");
    cell.start(1);
    assert_eq!(cell.finish(0, 1, Ending::NeverBegan), None);
    assert_eq!(cell.cancel(), Some(Outcome::not_run(Reason::Cancelled)));
}

#[test]
fn a_job_that_began_once_is_not_called_not_run_for_a_later_attempt() {
    let mut cell = Cell::new("batch");
    cell.start(1);
    assert_eq!(cell.finish(0, 1, Ending::Stopped), None);
    cell.start(2);
    assert_eq!(cell.cancel(), None);
    let outcome = cell.finish(0, 2, Ending::NeverBegan);
    assert_eq!(outcome, Some(Outcome::may_have_run(Reason::Cancelled)));
}

#[test]
fn a_result_that_beats_the_cancellation_is_the_answer() {
    for (ending, reason) in [
        (Ending::Done, Reason::Done),
        (Ending::Failed, Reason::Failed),
    ] {
        let mut cell = Cell::new("notice");
        cell.start(1);
        assert_eq!(cell.cancel(), None);
        let outcome = cell.finish(0, 1, ending);
        assert_eq!(outcome, Some(Outcome::ran(reason)));
    }
}

#[test]
fn a_cancelled_job_does_not_start() {
    let mut cell = Cell::new("notice");
    cell.cancel();
    let effect = cell.start(1);
    assert_eq!(effect.events, [Event::StartRejected(cell.job)]);
}

#[test]
fn attempts_that_never_began_or_made_room_are_not_used_up() {
    let mut cell = Cell::new("batch");
    for attempt in 1..=10 {
        cell.start(attempt);
        let ending = match attempt % 2 {
            0 => Ending::NeverBegan,
            _ => {
                let job = cell.job;
                cell.state.apply(Command::Preempt { job });
                Ending::Checkpointed
            }
        };
        assert_eq!(cell.finish(0, attempt, ending), None);
    }
    for attempt in 11..=12 {
        cell.start(attempt);
        assert_eq!(cell.finish(0, attempt, Ending::Stopped), None);
    }
    cell.start(13);
    let outcome = cell.finish(0, 13, Ending::Stopped);
    let exhausted = Outcome::may_have_run(Reason::AttemptsExhausted);
    assert_eq!(outcome, Some(exhausted));
}

#[test]
fn work_that_may_run_once_does_not_make_room() {
    let mut cell = Cell::new("notice");
    cell.start(1);
    let job = cell.job;
    let effect = cell.state.apply(Command::Preempt { job });
    assert!(effect.events.is_empty());
    let outcome = cell.finish(0, 1, Ending::Done);
    assert_eq!(outcome, Some(Outcome::ran(Reason::Done)));
}

#[test]
fn a_gang_that_lost_a_task_after_another_ended_may_have_run() {
    let mut cell = Cell::new("duo");
    cell.start(1);
    assert_eq!(cell.finish(0, 1, Ending::Done), None);
    let unsent = vec![cell.token(1, 1)];
    let outcome = cell.lose(unsent);
    assert_eq!(outcome, Some(Outcome::may_have_run(Reason::WorkerLost)));
}

#[test]
fn a_gang_none_of_which_was_sent_waits_again() {
    let mut cell = Cell::new("duo");
    cell.start(1);
    let unsent = vec![cell.token(0, 1), cell.token(1, 1)];
    assert_eq!(cell.lose(unsent), None);
    assert_eq!(cell.cancel(), Some(Outcome::not_run(Reason::Cancelled)));
}

#[test]
fn results_of_another_worker_life_or_attempt_are_dropped() {
    let mut cell = Cell::new("batch");
    cell.start(1);
    cell.finish(0, 1, Ending::Stopped);
    cell.start(2);
    let token = cell.token(0, 2);
    let mut wrong = finish(token, Ending::Done, "");
    wrong.incarnation = Incarnation(2);
    let mut other = finish(token, Ending::Done, "");
    other.worker = id::Worker::from("v");
    let late = finish(cell.token(0, 1), Ending::Done, "");
    for finish in [wrong, other, late] {
        let effect = cell.state.apply(Command::Finish(finish));
        assert!(effect.events.is_empty());
    }
    let outcome = cell.finish(0, 2, Ending::Done);
    assert_eq!(outcome, Some(Outcome::ran(Reason::Done)));
}

#[test]
fn a_replica_that_ends_stands_again() {
    let mut cell = Cell::new("notice");
    let (replica, _) = cell
        .state
        .jobs()
        .find(|(_, job)| job.key.is_none())
        .unwrap();
    cell.job = replica;
    for attempt in 1..=5 {
        cell.start(attempt);
        cell.finish(0, attempt, Ending::Done);
        let job = cell.state.job(replica).unwrap();
        assert_eq!(u64::from(job.consecutive_failures), attempt);
    }
}

#[test]
fn a_key_with_other_content_is_refused_and_keeps_its_answer() {
    let mut cell = Cell::new("notice");
    let effect = cell.state.apply(submit(cell.key, "batch"));
    assert_eq!(refused(&effect), Some(Outcome::not_run(Reason::KeyReused)));
    let cancelled = cell.cancel();
    let effect = cell.state.apply(submit(cell.key, "notice"));
    assert_eq!(answer(&effect), cancelled);
}

#[test]
fn a_cancellation_that_overtakes_its_request_holds() {
    let mut cell = Cell::new("notice");
    cell.key = key(1);
    let cancelled = cell.cancel();
    assert_eq!(cancelled, Some(Outcome::not_run(Reason::Cancelled)));
    let effect = cell.state.apply(submit(cell.key, "notice"));
    assert_eq!(answer(&effect), cancelled);
}

#[test]
fn an_unknown_workload_stays_refused_for_its_key_when_a_note_adds_it() {
    let mut cell = Cell::new("notice");
    let first = cell.state.apply(submit(key(1), "new"));
    let note = r#"{"number": 2, "base": 1, "add": {"workloads": {"new":
        {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": false}}}}"#;
    let note = Note::read(note).unwrap();
    cell.state.apply(Command::Note(Box::new(note)));
    let again = cell.state.apply(submit(key(1), "new"));
    let never = Outcome::not_run(Reason::UnknownWorkload);
    assert_eq!(answer(&first), Some(never.clone()));
    assert_eq!(answer(&again), Some(never));
    assert!(cell.state.apply(submit(key(2), "new")).events.len() == 1);
}

#[test]
fn a_key_whose_record_is_gone_is_too_old_and_may_have_run() {
    let mut cell = Cell::new("notice");
    cell.cancel();
    let open = key(1);
    cell.state.apply(submit(open, "notice"));
    let before = AT.after(Span::from_secs(2));
    cell.state.apply(Command::Expire { before });
    let old = Some(Outcome::may_have_run(Reason::KeyExpired));
    let again = cell.state.apply(submit(cell.key, "notice"));
    assert_eq!(refused(&again), old);
    let effect = cell.state.apply(Command::Cancel {
        at: AT,
        key: cell.key,
    });
    assert_eq!(refused(&effect), old);
    assert!(cell.state.record(&open).is_some());
    let earlier = Command::Expire { before: AT };
    cell.state.apply(earlier);
    assert_eq!(cell.state.horizon(), before);
}

#[test]
fn a_key_ahead_of_the_clock_is_told_when_to_come_back() {
    let mut cell = Cell::new("notice");
    let ahead = key(400);
    let wanted = Outcome::not_run(Reason::KeyAhead).retry_after(Span::from_secs(100));
    let effect = cell.state.apply(submit(ahead, "notice"));
    assert_eq!(refused(&effect), Some(wanted.clone()));
    let effect = cell.state.apply(Command::Cancel { at: AT, key: ahead });
    assert_eq!(refused(&effect), Some(wanted));
    assert!(cell.state.record(&ahead).is_none());
}

#[test]
fn outputs_beyond_the_answer_s_limit_are_cut_and_said_to_be() {
    let mut cell = Cell::new("duo");
    cell.start(1);
    let limit = cell.state.job(cell.job).unwrap().output_limit();
    let whole = finish(cell.token(0, 1), Ending::Done, &"x".repeat(limit));
    cell.state.apply(Command::Finish(whole));
    let long = finish(cell.token(1, 1), Ending::Done, &"x".repeat(limit + 1));
    let effect = cell.state.apply(Command::Finish(long));
    let Some(Event::RequestAnswered(Answer {
        outcome, outputs, ..
    })) = effect.events.last()
    else {
        unreachable!("{effect:?}");
    };
    assert_eq!(*outcome, Outcome::ran(Reason::OutputTooLarge));
    assert_eq!(
        outputs.iter().map(Output::is_whole).collect::<Vec<_>>(),
        [true, false]
    );
    assert_eq!(outputs[1].length, limit as u64 + 1);
}

#[test]
fn the_records_weight_follows_what_is_kept() {
    let mut cell = Cell::new("notice");
    let open = cell.state.records_size();
    cell.start(1);
    cell.finish(0, 1, Ending::Done);
    assert!(cell.state.records_size() > open);
    let before = AT.after(Span::from_secs(1));
    cell.state.apply(Command::Expire { before });
    assert_eq!(cell.state.records_size(), 0);
    assert_eq!(cell.state.record_count(), 0);
}

#[test]
fn a_worker_that_shrinks_below_what_it_holds_gets_nothing_more() {
    let mut cell = Cell::new("notice");
    cell.start(1);
    cell.state.apply(Command::Announce(announce(1, 0)));
    let running = cell.job;
    let effect = cell.state.apply(submit(key(1), "notice"));
    let Some(Event::JobQueued(job)) = effect.events.first() else {
        unreachable!("{effect:?}");
    };
    cell.job = *job;
    assert_eq!(cell.start(1).events, [Event::StartRejected(cell.job)]);
    cell.job = running;
    assert_eq!(
        cell.finish(0, 1, Ending::Done),
        Some(Outcome::ran(Reason::Done))
    );
}

#[test]
fn a_request_without_time_left_is_answered_at_once_and_for_good() {
    let mut cell = Cell::new("notice");
    let Command::Submit { at, mut submit } = submit(key(1), "notice") else {
        unreachable!();
    };
    submit.deadline = Some(Span::ZERO);
    let first = cell.state.apply(Command::Submit {
        at,
        submit: submit.clone(),
    });
    let never = Some(Outcome::not_run(Reason::Deadline));
    assert_eq!(answer(&first), never);
    submit.deadline = Some(Span::from_secs(9));
    let again = cell.state.apply(Command::Submit { at, submit });
    assert_eq!(answer(&again), never);
}
