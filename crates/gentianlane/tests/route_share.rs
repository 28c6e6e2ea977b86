//! All entries together stay within an instance's capacity, whatever the network
//! does.

use gentianlane::id::{Attempt, Job, Node, Task};
use gentianlane::lease::Timing;
use gentianlane::route::{
    Bounds, Capacity, Grant, Instance, Pick, ShareRequest, Shares, Table, Unavailable,
};
use gentianlane::unit::{Span, Time};
use indexmap::IndexMap;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 0x726f_7574;

const LIMIT: Capacity = Capacity {
    tasks: 8,
    connections: 64,
};

const TASK: Capacity = Capacity {
    tasks: 1,
    connections: 1,
};

const TIMING: Timing = Timing {
    duration: Span::from_millis(3_000),
    clock_drift_margin: Span::from_millis(100),
};

const BOUNDS: Bounds = Bounds {
    max_age: TIMING.duration,
    spare: Capacity {
        tasks: 1,
        connections: 4,
    },
};

fn instance(number: u64) -> Instance {
    let task = Task {
        job: Job(number),
        rank: 0,
    };
    let attempt = Attempt(1);
    Instance { task, attempt }
}

type Renewal = (u64, IndexMap<Instance, ShareRequest>);

/// Entries, the leader and the messages between them.
struct Net {
    now: Time,
    leader: Shares,
    tables: Vec<Table>,
    picks: Vec<Vec<(Time, Pick)>>,
    asks: Vec<(Time, usize, Renewal)>,
    answers: Vec<(Time, usize, u64, Vec<Grant>)>,
    instances: u64,
    cut: Option<usize>,
    random: ChaCha8Rng,
}

impl Net {
    fn new(entries: usize, instances: u64, seed: u64) -> Self {
        let now = Time::from_millis(0);
        let mut net = Self {
            now,
            leader: Shares::new(LIMIT, TIMING, now),
            tables: (0..entries).map(|at| Table::new(BOUNDS, at)).collect(),
            picks: vec![Vec::new(); entries],
            asks: Vec::new(),
            answers: Vec::new(),
            instances,
            cut: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        net.fill();
        net
    }

    fn fill(&mut self) {
        for number in 0..self.instances {
            self.leader.add_instance(instance(number), "127.0.0.1:1");
        }
    }

    /// Another leader, which knows of no grants.
    fn change_leader(&mut self) {
        self.leader = Shares::new(LIMIT, TIMING, self.now);
        self.fill();
    }

    fn delay(&mut self) -> Option<Time> {
        let delay = match self.random.random_range(0..10) {
            0 => return None,
            1 => self.random.random_range(100..2_000),
            _ => self.random.random_range(1..10),
        };
        Some(self.now.after(Span::from_millis(delay)))
    }

    fn step(&mut self) {
        self.now = self.now.after(Span::from_millis(10));
        for entry in 0..self.tables.len() {
            let due = self.now.as_millis() % 400 == 50 * (entry as u64 % 8);
            if due && self.cut != Some(entry) {
                let renewal = self.tables[entry].renewal(self.now);
                if let Some(at) = self.delay() {
                    self.asks.push((at, entry, renewal));
                }
            }
        }
        let now = self.now;
        let asks = std::mem::take(&mut self.asks);
        let (due, rest) = asks.into_iter().partition(|(at, ..)| *at <= now);
        self.asks = rest;
        for (_, entry, (number, keeps)) in Vec::from_iter::<Vec<_>>(due) {
            let node = Node(entry as u64);
            let grants = self.leader.renew(node, number, &keeps, now);
            if let (Some(grants), Some(at)) = (grants, self.delay()) {
                self.answers.push((at, entry, number, grants));
            }
        }
        let answers = std::mem::take(&mut self.answers);
        let (due, rest) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.answers = rest;
        for (_, entry, number, grants) in Vec::from_iter::<Vec<_>>(due) {
            self.tables[entry].apply_grants(number, &grants);
        }
        self.end_picks();
    }

    /// Ends work that is done, and work whose entry holds no lease any more.
    fn end_picks(&mut self) {
        let now = self.now;
        for (table, picks) in self.tables.iter_mut().zip(&mut self.picks) {
            let lapsed = !table.is_fresh(now);
            for (_, pick) in picks.extract_if(.., |(end, _)| lapsed || *end <= now) {
                table.release(&pick, true, now);
            }
        }
    }

    fn pick(&mut self, entry: usize, span: u64) -> Result<Instance, Unavailable> {
        let now = self.now;
        let pick = self.tables[entry].pick(TASK, now, &mut self.random)?;
        let picked = pick.instance;
        let end = now.after(Span::from_millis(span));
        self.picks[entry].push((end, pick));
        Ok(picked)
    }

    fn used(&self, number: u64) -> Capacity {
        let used = self
            .tables
            .iter()
            .map(|table| table.used(&instance(number)));
        used.fold(Capacity::default(), Capacity::saturating_add)
    }

    fn over(&self) -> Option<String> {
        let used = (0..self.instances).map(|number| (number, self.used(number)));
        let mut over = used.filter(|(_, used)| used.min(LIMIT) != *used);
        over.next()
            .map(|(number, used)| format!("{number}: {used:?}"))
    }
}

fn never_over(seed: u64, steps: Vec<u8>) -> TestResult {
    let mut net = Net::new(4, 3, seed);
    for step in steps {
        match step {
            0..=5 => net.change_leader(),
            6..=20 => net.cut = Some(step as usize % 4),
            21..=40 => net.cut = None,
            _ => (0..8).for_each(|_| {
                let entry = net.random.random_range(0..4);
                let span = net.random.random_range(10..4_000);
                let _ = net.pick(entry, span);
            }),
        }
        (0..step % 16 * 4).for_each(|_| net.step());
        if let Some(over) = net.over() {
            return TestResult::error(over);
        }
    }
    TestResult::passed()
}

#[test]
fn no_instance_gets_more_than_its_room_from_all_entries_together() {
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(100)
        .quickcheck(never_over as fn(u64, Vec<u8>) -> TestResult);
}

#[test]
fn a_busy_entry_gets_nearly_all_the_room_while_the_others_idle() {
    let mut net = Net::new(4, 2, SEED);
    for _ in 0..2_000 {
        net.step();
        let _ = net.pick(0, 100_000);
    }
    let used = net.used(0).tasks + net.used(1).tasks;
    assert!(used >= 2 * LIMIT.tasks - 3, "{used}");
}

#[test]
fn a_leaving_instance_gets_no_new_work_also_from_an_entry_that_is_cut_off() {
    let mut net = Net::new(3, 2, SEED);
    (0..1_000).for_each(|_| net.step());
    net.cut = Some(0);
    net.leader.remove_instance(&instance(0));
    let (left, mut last) = (net.now, net.now);
    for _ in 0..1_000 {
        net.step();
        for entry in 0..3 {
            if net.pick(entry, 20) == Ok(instance(0)) {
                last = net.now;
            }
        }
    }
    assert!(last.since(left) <= TIMING.duration, "{last}");
    assert_eq!(net.pick(0, 10), Err(Unavailable::Stale));
    assert_eq!(net.pick(1, 10), Ok(instance(1)));
}

#[test]
fn an_instance_that_fails_everything_is_set_aside_and_tried_again() {
    let mut net = Net::new(1, 6, SEED);
    (0..1_000).for_each(|_| net.step());
    let bad = instance(3);
    let mut tried = Vec::new();
    for _ in 0..6_000 {
        net.step();
        let now = net.now;
        if let Ok(pick) = net.tables[0].pick(TASK, now, &mut net.random) {
            if pick.instance == bad {
                tried.push(now);
            }
            net.tables[0].release(&pick, pick.instance != bad, now);
        }
    }
    assert!((6..40).contains(&tried.len()), "{}", tried.len());
}

#[test]
fn a_bad_release_does_not_set_all_instances_aside() {
    let mut net = Net::new(1, 6, SEED);
    (0..1_000).for_each(|_| net.step());
    let (mut open, mut full) = (0, 0);
    for _ in 0..2_000 {
        net.step();
        let now = net.now;
        match net.tables[0].pick(TASK, now, &mut net.random) {
            Ok(pick) => {
                net.tables[0].release(&pick, false, now);
                open += 1;
            }
            Err(Unavailable::Full) => full += 1,
            Err(Unavailable::Stale) => {}
        }
    }
    assert_eq!(full, 0);
    assert!(open > 1_000, "{open}");
}

#[test]
fn load_spreads_and_no_instance_is_herded_on() {
    let mut net = Net::new(8, 16, SEED);
    (0..1_000).for_each(|_| net.step());
    let mut most = 0;
    for _ in 0..2_000 {
        net.step();
        for entry in 0..8 {
            if net.now.as_millis().is_multiple_of(40) {
                let _ = net.pick(entry, 600);
            }
        }
        let used = (0..16).map(|number| net.used(number).tasks);
        most = most.max(used.max().unwrap_or(0));
    }
    assert!(most <= LIMIT.tasks);
    let mut counts = IndexMap::<Instance, u32>::new();
    for _ in 0..4_000 {
        net.step();
        let entry = net.random.random_range(0..8);
        if let Ok(picked) = net.pick(entry, 200) {
            *counts.entry(picked).or_default() += 1;
        }
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), 16);
    assert!(most <= least.map(|least| 2 * least).as_ref(), "{counts:?}");
}

#[test]
fn an_entry_that_was_cut_off_for_long_claims_nothing_from_a_new_leader() {
    for wait in 0..60 {
        println!("seed {SEED:#x}, wait {wait}");
        let mut net = Net::new(2, 1, SEED + wait);
        for _ in 0..500 {
            net.step();
            let _ = net.pick(0, 10);
        }
        net.cut = Some(0);
        for _ in 0..1_000 {
            net.step();
            let _ = net.pick(1, 100_000);
        }
        net.change_leader();
        net.cut = None;
        (0..wait).for_each(|_| net.step());
        for _ in 0..200 {
            net.step();
            let _ = net.pick(0, 1_000);
            assert_eq!(net.over(), None);
        }
    }
}
