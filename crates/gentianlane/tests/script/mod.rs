//! The words of the scenarios, as functions of an embedded script language.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

use gentianlane::api::{Announce, Call, Drain, NoteReply, NoteText, Reply, Submit};
use gentianlane::id;
use gentianlane::note::{Note, Ruling};
use gentianlane::unit::{Size, Span};
use indexmap::IndexSet;
use rhai::{Engine, EvalAltResult};

use crate::world::{Machine, World};

/// The seed of every scenario.
const SEED: u64 = 20_261_203;

/// Bytes in a gibibyte.
const GIB: u64 = 1 << 30;

/// The longest that a word waits, in milliseconds of virtual time.
const PATIENCE: u64 = 60_000;

type Fault = Box<EvalAltResult>;

/// A scenario that is under way.
struct Stage {
    world: World,
    /// The workloads that may run only once, from the notes applied.
    once: IndexSet<String>,
    keys: u64,
}

/// Runs one scenario; the text of what wasn't as it says.
pub(crate) fn run(path: &Path) -> Result<(), String> {
    let stage = Stage {
        world: World::new(0, SEED),
        once: IndexSet::new(),
        keys: 0,
    };
    let stage = Rc::new(RefCell::new(stage));
    let mut engine = Engine::new();
    cell_words(&mut engine, &stage);
    fault_words(&mut engine, &stage);
    work_words(&mut engine, &stage);
    expect_words(&mut engine, &stage);
    engine
        .run_file(path.to_path_buf())
        .map_err(|fault| fault.to_string())?;
    let mut stage = stage.borrow_mut();
    let once = stage.once.clone();
    stage.world.judge(|workload| once.contains(workload));
    match stage.world.breaches.first() {
        Some(breach) => Err(breach.clone()),
        None => Ok(()),
    }
}

fn number(value: i64) -> u64 {
    u64::try_from(value).unwrap_or(0)
}

fn node(value: i64) -> id::Node {
    id::Node(number(value))
}

fn fault(text: impl Into<String>) -> Fault {
    Box::new(EvalAltResult::from(text.into()))
}

fn cell_words(engine: &mut Engine, stage: &Rc<RefCell<Stage>>) {
    let s = Rc::clone(stage);
    engine.register_fn("cell", move |nodes: i64| {
        s.borrow_mut().world = World::new(number(nodes), SEED);
    });
    let s = Rc::clone(stage);
    engine.register_fn("leader", move || -> Result<i64, Fault> {
        let mut stage = s.borrow_mut();
        stage.world.until(Span::from_millis(PATIENCE), |world| {
            world.leader().is_some()
        });
        let leader = stage.world.leader().ok_or_else(|| fault("nobody leads"))?;
        Ok(leader.0.cast_signed())
    });
    let s = Rc::clone(stage);
    engine.register_fn(
        "worker",
        move |name: &str, cores: i64, gib: i64, acc: i64| {
            let mut stage = s.borrow_mut();
            let number_of = stage.world.machines.len() as u64;
            let announce = Announce {
                worker: id::Worker::from(name),
                incarnation: id::Incarnation(1),
                size: Size::new(
                    number(cores) * 1_000,
                    number(gib) * GIB,
                    u32::try_from(acc).unwrap_or(0),
                ),
                region: id::Region::from("region-1"),
                domain: id::Domain(format!("domain-{}", number_of % 3 + 1)),
                rack: id::Rack(format!("rack-{}", number_of / 5 + 1)),
                address: String::new(),
            };
            let machine = Machine::new(announce);
            stage.world.machines.insert(id::Worker::from(name), machine);
        },
    );
    let s = Rc::clone(stage);
    engine.register_fn("advance", move |millis: i64| {
        s.borrow_mut()
            .world
            .advance(Span::from_millis(number(millis)));
    });
}

fn fault_words(engine: &mut Engine, stage: &Rc<RefCell<Stage>>) {
    let s = Rc::clone(stage);
    engine.register_fn("cut", move |from: i64, to: i64| {
        s.borrow_mut().world.cut.insert((node(from), node(to)));
    });
    let s = Rc::clone(stage);
    engine.register_fn("isolate", move |one: i64| {
        let mut stage = s.borrow_mut();
        let all: Vec<id::Node> = stage.world.hosts.keys().copied().collect();
        for other in all.into_iter().filter(|&other| other != node(one)) {
            stage.world.cut.insert((node(one), other));
            stage.world.cut.insert((other, node(one)));
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("heal", move || s.borrow_mut().world.cut.clear());
    let s = Rc::clone(stage);
    engine.register_fn("kill", move |one: i64| {
        if let Some(host) = s.borrow_mut().world.hosts.get_mut(&node(one)) {
            host.kill();
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("restart", move |one: i64| {
        let mut stage = s.borrow_mut();
        let now = stage.world.now;
        if let Some(host) = stage.world.hosts.get_mut(&node(one)) {
            host.restart(now);
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("wipe", move |one: i64| {
        let mut stage = s.borrow_mut();
        let now = stage.world.now;
        if let Some(host) = stage.world.hosts.get_mut(&node(one)) {
            host.wipe(now);
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("compact", move |one: i64| {
        if let Some(host) = s.borrow_mut().world.hosts.get_mut(&node(one)) {
            host.compact();
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("learner", move |one: i64| {
        s.borrow_mut().world.learner(node(one), SEED);
    });
    let s = Rc::clone(stage);
    engine.register_fn("pause", move |one: i64| {
        if let Some(host) = s.borrow_mut().world.hosts.get_mut(&node(one)) {
            host.pause();
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("suspend", move |one: i64| {
        let mut stage = s.borrow_mut();
        let now = stage.world.now;
        if let Some(host) = stage.world.hosts.get_mut(&node(one)) {
            host.suspend(now);
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("bind_worker", move |name: &str, entry: i64| {
        let mut stage = s.borrow_mut();
        let machine = stage.world.machines.get_mut(&id::Worker::from(name));
        if let Some(machine) = machine {
            machine.bound = Some(node(entry));
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("resume", move |one: i64| {
        let mut stage = s.borrow_mut();
        let (now, wall) = (stage.world.now, stage.world.wall());
        if let Some(host) = stage.world.hosts.get_mut(&node(one)) {
            host.resume(now, wall);
        }
    });
    machine_word(engine, stage, "pause_worker", |machine| {
        machine.paused = true;
    });
    machine_word(engine, stage, "resume_worker", |machine| {
        machine.paused = false;
    });
    machine_word(engine, stage, "cut_worker", |machine| machine.cut = true);
    machine_word(engine, stage, "heal_worker", |machine| machine.cut = false);
    machine_word(engine, stage, "fail_worker", |machine| machine.fails = true);
    machine_word(engine, stage, "restart_worker", Machine::restart);
}

fn machine_word(
    engine: &mut Engine,
    stage: &Rc<RefCell<Stage>>,
    word: &str,
    act: fn(&mut Machine),
) {
    let s = Rc::clone(stage);
    engine.register_fn(word, move |name: &str| -> Result<(), Fault> {
        let mut stage = s.borrow_mut();
        let machine = stage.world.machines.get_mut(&id::Worker::from(name));
        machine
            .map(act)
            .ok_or_else(|| fault(format!("no worker {name}")))
    });
}

fn work_words(engine: &mut Engine, stage: &Rc<RefCell<Stage>>) {
    let s = Rc::clone(stage);
    engine.register_fn("note", move |entry: i64, text: &str| -> i64 {
        let mut stage = s.borrow_mut();
        if let Ok(note) = Note::read(text) {
            for (name, workload) in
                note.add.workloads.iter().chain(&note.change.workloads)
            {
                if !workload.idempotent {
                    stage.once.insert(name.to_string());
                }
            }
        }
        let call = Call::Note(NoteText {
            text: text.to_owned(),
        });
        stage.world.operate(node(entry), call) as i64
    });
    let s = Rc::clone(stage);
    engine.register_fn("drain", move |entry: i64, worker: &str, on: bool| -> i64 {
        let call = Call::Drain(Drain {
            worker: id::Worker::from(worker),
            on,
        });
        s.borrow_mut().world.operate(node(entry), call) as i64
    });
    let s = Rc::clone(stage);
    engine.register_fn(
        "submit",
        move |entry: i64, workload: &str, payload: &str| {
            submit(&s, entry, workload, payload, None)
        },
    );
    let s = Rc::clone(stage);
    engine.register_fn(
        "submit_within",
        move |entry: i64, workload: &str, payload: &str, millis: i64| {
            submit(
                &s,
                entry,
                workload,
                payload,
                Some(Span::from_millis(number(millis))),
            )
        },
    );
    let s = Rc::clone(stage);
    engine.register_fn("cancel", move |caller: i64| {
        let mut stage = s.borrow_mut();
        if let Some(caller) = stage.world.callers.get_mut(number(caller) as usize) {
            caller.cancels = true;
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("insist", move |caller: i64| {
        let mut stage = s.borrow_mut();
        if let Some(caller) = stage.world.callers.get_mut(number(caller) as usize) {
            caller.insists = true;
        }
    });
}

fn submit(
    stage: &Rc<RefCell<Stage>>,
    entry: i64,
    workload: &str,
    payload: &str,
    deadline: Option<Span>,
) -> i64 {
    let mut stage = stage.borrow_mut();
    stage.keys += 1;
    let mut random = [0; 10];
    random[..8].copy_from_slice(&stage.keys.to_be_bytes());
    let submit = Submit {
        key: id::Key::new(stage.world.wall(), &random),
        team: id::Team::from("town"),
        workload: id::Workload::from(workload),
        payload: payload.to_owned(),
        count: None,
        deadline,
        trace: None,
        hold: Span::from_millis(500),
    };
    stage.world.submit(node(entry), submit) as i64
}

fn expect_words(engine: &mut Engine, stage: &Rc<RefCell<Stage>>) {
    let s = Rc::clone(stage);
    engine.register_fn(
        "expect_answer",
        move |caller: i64, verdict: &str, reason: &str| -> Result<(), Fault> {
            let mut stage = s.borrow_mut();
            let at = number(caller) as usize;
            let patience = Span::from_millis(PATIENCE);
            stage
                .world
                .until(patience, |world| world.answer(at).is_some());
            let Some(answer) = stage.world.answer(at) else {
                return Err(fault(format!("caller {caller} has no answer")));
            };
            let said = (
                answer.outcome.verdict.to_string(),
                answer.outcome.reason.to_string(),
            );
            match said == (verdict.to_owned(), reason.to_owned()) {
                true => Ok(()),
                false => Err(fault(format!("caller {caller} was told {said:?}"))),
            }
        },
    );
    let s = Rc::clone(stage);
    engine.register_fn("expect_began", move |payload: &str, times: i64| {
        let stage = s.borrow();
        let began = stage.world.began(payload) as i64;
        match began == times {
            true => Ok(()),
            false => Err(fault(format!("{payload} began {began} times"))),
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("expect_ruling", move |told: i64, ruling: &str| {
        let mut stage = s.borrow_mut();
        let at = number(told) as usize;
        let patience = Span::from_millis(PATIENCE);
        stage
            .world
            .until(patience, |world| world.told[at].is_some());
        let said = match &stage.world.told[at] {
            Some(Reply::Note(NoteReply { ruling, .. })) => match ruling {
                Ruling::Accepted(revision) => format!("accepted {revision}"),
                Ruling::Taken(_, revision) => format!("taken {revision}"),
                Ruling::Stale(revision) => format!("stale {revision}"),
                other => format!("{other:?}"),
            },
            other => format!("{other:?}"),
        };
        match said == ruling {
            true => Ok(()),
            false => Err(fault(format!("note {told} was told {said}"))),
        }
    });
    let s = Rc::clone(stage);
    engine.register_fn("revision", move |one: i64| -> Result<i64, Fault> {
        let stage = s.borrow();
        let host = stage.world.hosts.get(&node(one));
        let host = host.and_then(|host| host.node());
        let host = host.ok_or_else(|| fault(format!("node {one} is down")))?;
        Ok(host.state().catalog().revision().0.cast_signed())
    });
    let s = Rc::clone(stage);
    engine.register_fn("is_up", move |one: i64| -> bool {
        let stage = s.borrow();
        let host = stage.world.hosts.get(&node(one));
        host.is_some_and(|host| !host.is_down())
    });
    let s = Rc::clone(stage);
    engine.register_fn("is_voter", move |one: i64| -> bool {
        let stage = s.borrow();
        let host = stage
            .world
            .leader()
            .and_then(|leader| stage.world.hosts.get(&leader));
        let node_of = host.and_then(|host| host.node());
        node_of.is_some_and(|leader| leader.consensus().voters().contains(node(one)))
    });
    let s = Rc::clone(stage);
    engine.register_fn("running", move |workload: &str| -> i64 {
        let stage = s.borrow();
        let host = stage
            .world
            .leader()
            .and_then(|leader| stage.world.hosts.get(&leader));
        let jobs = host.and_then(|host| host.node()).into_iter();
        let jobs = jobs.flat_map(|node| node.state().jobs());
        let ours = jobs.filter(|(_, job)| job.spec.workload.as_str() == workload);
        ours.map(|(_, job)| job.reserved_workers().count() as i64)
            .sum()
    });
    engine.register_fn("expect", |holds: bool, text: &str| match holds {
        true => Ok(()),
        false => Err(fault(text)),
    });
}
