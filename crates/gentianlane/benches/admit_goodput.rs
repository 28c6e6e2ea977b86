//! Useful work against offered load, on virtual time, and what a refusal costs
//! beside an accepted request.

use std::hint::black_box;
use std::time::Instant;

use gentianlane::admit::{Bounds, Queue, Requester};
use gentianlane::api::{Announce, Call, Ending, Finish, NoteText, Order, Output};
use gentianlane::api::{Renew, Reply, Submit};
use gentianlane::cell::{self, Node, Ticket};
use gentianlane::consensus;
use gentianlane::unit::{Size, Span, Time, Wall};
use gentianlane::{id, lease, place};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 150;

/// How many pieces of work the cell can start in a second.
const CAPACITY: u64 = 100;

/// How long each load lasts, in virtual milliseconds.
const SPAN: u64 = 120_000;

/// How long a caller will still wait for a start.
const DEADLINE: Span = Span::from_millis(4_500);

/// How many requests the costs are taken over.
const REQUESTS: u64 = 20_000;

const NOTE: &str = r#"{"number": 1, "base": 0, "add": {"workloads": {"batch":
    {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": true}}}}"#;

fn main() {
    println!("load  offered/s  useful/s  late/s  refused/s  of capacity");
    for eighths in [4, 8, 16, 32, 64] {
        load(eighths);
    }
    let accepted = accepted();
    let refused = refused();
    println!("accepted {accepted:.0} ns, refused {refused:.0} ns");
    println!("a refusal costs {:.2}%", 100.0 * refused / accepted);
}

/// Callers who return when they are told to, for as long as they care.
fn load(eighths: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut queue = Queue::new(Bounds::default(), SEED);
    let mut returning: Vec<(u64, Time)> = Vec::new();
    let (mut offered, mut useful, mut late, mut refused) = (0, 0, 0, 0);
    for millis in 0..SPAN {
        let now = Time::from_millis(millis);
        let mut asks: Vec<Time> = Vec::new();
        if random.random_range(0..8_000) < eighths * CAPACITY {
            asks.push(now.after(DEADLINE));
        }
        let back = returning.extract_if(.., |(at, _)| *at <= millis);
        asks.extend(back.map(|(_, deadline)| deadline));
        for deadline in asks {
            offered += 1;
            let requester = Requester(random.random_range(0..80));
            if let Err(rejection) = queue.enqueue(requester, (), Some(deadline), now) {
                refused += 1;
                let at = now.after(rejection.retry_after);
                if at < deadline {
                    returning.push((at.as_millis(), deadline));
                }
            }
        }
        if millis % (1_000 / CAPACITY) == 0 {
            while let Some(item) = queue.dequeue(now) {
                late += u64::from(item.expired);
                if !item.expired {
                    useful += 1;
                    break;
                }
            }
        }
    }
    let a_second = |count: u64| count as f64 * 1_000.0 / SPAN as f64;
    println!(
        "{:>4.1} {:>10.1} {:>9.1} {:>7.1} {:>10.1} {:>11.1}%",
        eighths as f64 / 8.0,
        a_second(offered),
        a_second(useful),
        a_second(late),
        a_second(refused),
        100.0 * a_second(useful) / CAPACITY as f64,
    );
}

/// Nanoseconds for one request through a cell of one node, to its answer.
fn accepted() -> f64 {
    let (now, wall) = (
        Time::from_millis(10_000),
        Wall::from_millis(1_800_000_000_000),
    );
    let mut node = node();
    for millis in 0..1_000 {
        let now = Time::from_millis(10 * millis);
        node.tick(now, wall);
        node.flush(now, wall);
    }
    node.call(
        Ticket(0),
        Call::Note(NoteText {
            text: NOTE.to_owned(),
        }),
        now,
        wall,
    );
    node.call(Ticket(0), Call::Announce(announce()), now, wall);
    node.flush(now, wall);
    let begin = Instant::now();
    for number in 0..REQUESTS {
        node.call(Ticket(1), Call::Submit(submit(number, wall)), now, wall);
        node.call(Ticket(2), Call::Renew(renew()), now, wall);
        for output in node.flush(now, wall) {
            if let cell::Output::Reply(_, Reply::Lease(lease), _) = output {
                for order in lease.orders {
                    if let Order::Start { token, .. } = order {
                        node.call(Ticket(3), Call::Finish(finish(token)), now, wall);
                    }
                }
            }
        }
        black_box(node.flush(now, wall));
    }
    assert_eq!(node.state().record_count() as u64, REQUESTS);
    assert_eq!(node.state().job_count(), 0);
    begin.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// Nanoseconds for one rejection by a full queue.
fn refused() -> f64 {
    let now = Time::from_millis(0);
    let mut queue = Queue::new(Bounds::default(), SEED);
    while queue.enqueue(Requester(1), (), None, now).is_ok() {}
    let begin = Instant::now();
    for _ in 0..REQUESTS {
        assert!(black_box(queue.enqueue(Requester(1), (), None, now)).is_err());
    }
    begin.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn node() -> Node {
    let setup = cell::Setup {
        consensus: consensus::Setup {
            node: id::Node(1),
            voters: [id::Node(1)].into_iter().collect(),
            learners: Vec::new(),
            timing: consensus::Timing::default(),
            seed: SEED,
        },
        lease: lease::Timing::default(),
        place: place::Setup { seed: SEED },
    };
    Node::new(
        setup,
        consensus::DurableState::default(),
        Time::from_millis(0),
    )
}

fn announce() -> Announce {
    Announce {
        worker: "w".into(),
        incarnation: id::Incarnation(1),
        size: Size::new(1_000, 1_000, 0),
        region: "r".into(),
        domain: "d".into(),
        rack: "k".into(),
        address: String::new(),
    }
}

fn submit(number: u64, wall: Wall) -> Submit {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    Submit {
        key: id::Key::new(wall.after(Span::from_millis(number / 100)), &random),
        team: "town".into(),
        workload: "batch".into(),
        payload: "route 7".to_owned(),
        count: None,
        deadline: None,
        trace: None,
        hold: Span::ZERO,
    }
}

fn renew() -> Renew {
    Renew {
        worker: "w".into(),
        incarnation: id::Incarnation(1),
        running: Vec::new(),
        unchanged: None,
        used: Size::default(),
        hold: Span::ZERO,
    }
}

fn finish(token: id::Token) -> Finish {
    Finish {
        worker: "w".into(),
        incarnation: id::Incarnation(1),
        token,
        ending: Ending::Done,
        output: Output::new("route 7".to_owned()),
    }
}
