//! Release notes that meet running work.

#![allow(clippy::unwrap_used, reason = "only tests call this")]

use gentianlane::api::Announce;
use gentianlane::cell::{After, Command, Job, Phase, State};
use gentianlane::id;
use gentianlane::note::Note;
use gentianlane::unit::Size;
use gentianlane::verdict::Reason;

fn note(state: &mut State, section: &str) {
    let base = state.book().revision().0;
    let number = base + 1;
    let text = format!("{{ \"number\": {number}, \"base\": {base}, {section} }}");
    state.apply(Command::Note(Box::new(Note::read(&text).unwrap())));
    assert_eq!(state.book().revision().0, number, "{text}");
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
    let close = Phase::Stopping(After::Close(Reason::Withdrawn));
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

#[test]
fn a_changed_size_leaves_standing_replicas_and_their_room_alone() {
    let mut state = running(2);
    note(&mut state, &format!("\"change\": {}", service(3, 500)));
    let sizes: Vec<u64> = replicas(&state)
        .iter()
        .map(|(_, job)| job.spec.size.cpu.0)
        .collect();
    assert_eq!(sizes, [100, 100, 500]);
    assert_eq!(stopping(&state), 0);
    let worker = state.ledger().get(&id::Worker::from("w1")).unwrap();
    assert_eq!(worker.reserved(), Size::new(200, 2, 0));
}
