//! Release notes that meet running work.

#![allow(clippy::unwrap_used, reason = "only tests call this")]

use gentianlane::api::{Announce, Ending, Finish, Output};
use gentianlane::cell::{AfterStop, Command, Job, Phase, State};
use gentianlane::id;
use gentianlane::note::Note;
use gentianlane::unit::Size;
use gentianlane::verdict::Reason;

fn note(state: &mut State, section: &str) {
    let base = state.catalog().revision().0;
    let number = base + 1;
    let text = format!("{{ \"number\": {number}, \"base\": {base}, {section} }}");
    state.apply(Command::Note(Box::new(Note::read(&text).unwrap())));
    assert_eq!(state.catalog().revision().0, number, "{text}");
}

fn service(count: u32, cpu: u32) -> String {
    format!(
        r#"{{ "workloads": {{ "inbox": {{ "kind": "service", "idempotent": true,
          "team": "a", "count": {count}, "size": {{ "cpu": {cpu}, "memory": 1 }} }} }} }}"#
    )
}

fn replicas(state: &State) -> Vec<(id::Job, Job)> {
    state.jobs().map(|(id, job)| (id, job.clone())).collect()
}

/// A worker with all replicas running on it.
fn running(count: u32) -> State {
    let mut state = State::default();
    let worker = id::Worker::from("w1");
    let incarnation = id::Incarnation(1);
    state.apply(Command::Announce(Announce {
        worker: worker.clone(),
        incarnation,
        size: Size::new(10_000, 10_000, 0),
        region: id::Region::default(),
        domain: id::Domain::from("d1"),
        rack: id::Rack::from("r1"),
        address: String::new(),
    }));
    note(&mut state, &format!("\"add\": {}", service(count, 100)));
    for (job, _) in replicas(&state) {
        state.apply(Command::Start {
            job,
            attempt: id::Attempt(1),
            workers: vec![(worker.clone(), incarnation)],
        });
    }
    let all_run = |state: &State| {
        replicas(state)
            .iter()
            .all(|it| it.1.phase == Phase::Running)
    };
    assert!(all_run(&state));
    state
}

fn stopping(state: &State) -> usize {
    let close = Phase::Stopping(AfterStop::Close(Reason::Withdrawn));
    let all = replicas(state);
    all.iter().filter(|(_, job)| job.phase == close).count()
}

#[test]
fn a_withdrawn_service_is_stopped_and_its_room_kept_until_it_is_gone() {
    let mut state = running(3);
    note(&mut state, r#""withdraw": { "workloads": ["inbox"] }"#);
    assert_eq!((replicas(&state).len(), stopping(&state)), (3, 3));
    let worker = state.ledger().get(&id::Worker::from("w1")).unwrap();
    assert_eq!(worker.reserved(), Size::new(300, 3, 0));
}

#[test]
fn a_service_that_is_added_again_while_it_is_stopped_gets_all_its_replicas() {
    let mut state = running(3);
    note(&mut state, r#""withdraw": { "workloads": ["inbox"] }"#);
    note(&mut state, &format!("\"add\": {}", service(3, 100)));
    assert_eq!((replicas(&state).len(), stopping(&state)), (6, 3));
}

#[test]
fn a_changed_count_stops_the_surplus_or_adds_what_lacks() {
    let mut state = running(3);
    note(&mut state, &format!("\"change\": {}", service(1, 100)));
    assert_eq!((replicas(&state).len(), stopping(&state)), (3, 2));
    note(&mut state, &format!("\"change\": {}", service(4, 100)));
    assert_eq!((replicas(&state).len(), stopping(&state)), (6, 2));
}

/// Ends a replica that is being stopped, and starts one that waits.
fn step(state: &mut State) {
    let worker = id::Worker::from("w1");
    let incarnation = id::Incarnation(1);
    let all = replicas(state);
    let going = all
        .iter()
        .find(|(_, job)| matches!(job.phase, Phase::Stopping(_)));
    if let Some((id, job)) = going {
        state.apply(Command::Finish(Finish {
            worker: worker.clone(),
            incarnation,
            token: job.token(*id, 0),
            ending: Ending::Stopped,
            output: Output::new(String::new()),
        }));
    }
    let waiting = all.iter().find(|(_, job)| job.phase == Phase::Waiting);
    if let Some((id, job)) = waiting {
        state.apply(Command::Start {
            job: *id,
            attempt: id::Attempt(job.attempt.0 + 1),
            workers: vec![(worker, incarnation)],
        });
    }
}

#[test]
fn a_changed_size_replaces_replicas_a_tenth_at_a_time() {
    let mut state = running(20);
    note(&mut state, &format!("\"change\": {}", service(20, 200)));
    for round in 0..40 {
        let all = replicas(&state);
        let runs = all.iter().filter(|it| it.1.phase == Phase::Running).count();
        assert!(runs >= 18, "round {round}: {runs} of 20 run");
        let bytes = postcard::to_allocvec(&state).unwrap();
        state = postcard::from_bytes(&bytes).unwrap();
        step(&mut state);
    }
    let all = replicas(&state);
    assert_eq!(all.len(), 20);
    let is_new = |job: &Job| job.phase == Phase::Running && job.spec.size.cpu.0 == 200;
    assert!(all.iter().all(|(_, job)| is_new(job)), "{all:?}");
    let worker = state.ledger().get(&id::Worker::from("w1")).unwrap();
    assert_eq!(worker.reserved(), Size::new(4_000, 20, 0));
}

#[test]
fn a_service_that_becomes_batch_work_while_it_is_replaced_leaves_no_replica() {
    let mut state = running(20);
    note(&mut state, &format!("\"change\": {}", service(20, 200)));
    let batch = service(20, 200).replace("service", "batch");
    note(&mut state, &format!("\"change\": {batch}"));
    let close = |job: &Job| matches!(job.phase, Phase::Stopping(AfterStop::Close(_)));
    assert!(replicas(&state).iter().all(|(_, job)| close(job)));
}
