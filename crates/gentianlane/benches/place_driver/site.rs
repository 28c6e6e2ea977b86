//! The cells to measure on: workers and what is asked of them.

use gentianlane::id;
use gentianlane::place::{Job, Kind, Worker};
use gentianlane::unit::{Size, Span, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const GIB: u64 = 1 << 30;

/// A group of equal workers.
pub(crate) struct Group {
    pub(crate) count: usize,
    pub(crate) size: Size,
    pub(crate) per_rack: usize,
}

/// A deployment.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) groups: Vec<Group>,
    pub(crate) domains: usize,
    pub(crate) teams: usize,
    /// The part of the processors of workers without accelerators that services
    /// take.
    pub(crate) standing: f64,
    /// A size by which processor-only tasks are scaled, in percent.
    pub(crate) scale: u64,
}

impl Site {
    pub(crate) fn norrvik() -> Self {
        Self::town("norrvik", 32)
    }

    pub(crate) fn hanafy() -> Self {
        Self::town("hanafy", 64)
    }

    fn town(name: &'static str, cores: u64) -> Self {
        let groups = vec![
            Group {
                count: 35,
                size: Size::new(16_000, 32 * GIB, 0),
                per_rack: 5,
            },
            Group {
                count: 13,
                size: Size::new(cores * 1_000, 128 * GIB, 8),
                per_rack: 3,
            },
        ];
        Self {
            name,
            groups,
            domains: 3,
            teams: 6,
            standing: 0.2,
            scale: 100,
        }
    }

    /// The aim's size, or a part of it.
    pub(crate) fn aim(workers: usize) -> Self {
        let accelerated = workers * 150 / 760;
        let groups = vec![
            Group {
                count: workers - accelerated,
                size: Size::new(16_000, 32 * GIB, 0),
                per_rack: 5,
            },
            Group {
                count: accelerated,
                size: Size::new(32_000, 128 * GIB, 8),
                per_rack: 3,
            },
        ];
        Self {
            name: "aim",
            groups,
            domains: 5,
            teams: 80,
            standing: 0.2,
            scale: 50,
        }
    }

    pub(crate) fn workers(&self) -> Vec<(id::Worker, Worker)> {
        let mut workers = Vec::new();
        let mut racks = 0;
        for group in &self.groups {
            for at in 0..group.count {
                let rack = racks + at / group.per_rack;
                let place = (
                    "r".into(),
                    id::Domain(format!("d{}", rack % self.domains)),
                    id::Rack(format!("k{rack}")),
                );
                let name = id::Worker(format!("w{}", workers.len()));
                let worker = Worker::new(id::Incarnation(1), place, group.size);
                workers.push((name, worker));
            }
            racks += group.count.div_ceil(group.per_rack);
        }
        workers
    }

    /// What the workers without accelerators have together.
    fn plain(&self) -> Size {
        let groups = self.groups.iter();
        let plain = groups.filter(|group| group.size.accelerators.0 == 0);
        plain
            .map(|group| group.size.checked_mul(group.count as u32).unwrap())
            .sum()
    }

    pub(crate) fn total(&self) -> Size {
        let groups = self.groups.iter();
        groups
            .map(|group| group.size.checked_mul(group.count as u32).unwrap())
            .sum()
    }
}

/// A class of work: its share of the offered load, in percent of the processors
/// of workers without accelerators or, if it needs them, of all accelerators.
struct Class {
    name: &'static str,
    kind: Kind,
    size: Size,
    count: u32,
    mean: Span,
    percent: f64,
    /// How many times its run time it declares, in percent.
    declares: u64,
    /// What it uses of its size, in percent.
    uses: u64,
}

const fn class(
    name: &'static str,
    kind: Kind,
    size: (u64, u64, u32),
    count: u32,
    secs: u64,
    percent: f64,
    lies: (u64, u64),
) -> Class {
    Class {
        name,
        kind,
        size: Size::new(size.0, size.1 * GIB, size.2),
        count,
        mean: Span::from_secs(secs),
        percent,
        declares: lies.0,
        uses: lies.1,
    }
}

/// Processor-only work makes up 80 percent of the processors of workers without
/// accelerators, work with accelerators 100 percent of the accelerators.
const CLASSES: [Class; 10] = [
    class("notice", Kind::Batch, (500, 1, 0), 1, 5, 10.0, (1_000, 50)),
    class("route", Kind::Batch, (1_000, 2, 0), 1, 30, 22.0, (100, 90)),
    class("price", Kind::Batch, (2_000, 2, 0), 1, 60, 22.0, (10, 40)),
    class(
        "season",
        Kind::Batch,
        (4_000, 10, 0),
        1,
        240,
        16.0,
        (300, 70),
    ),
    class("tally", Kind::Gang, (4_000, 8, 0), 8, 60, 10.0, (100, 80)),
    class(
        "boiler",
        Kind::Batch,
        (3_000, 12, 1),
        1,
        60,
        25.0,
        (1_000, 60),
    ),
    class("flue", Kind::Batch, (6_000, 24, 2), 1, 120, 20.0, (10, 90)),
    class(
        "bricks",
        Kind::Batch,
        (12_000, 48, 4),
        1,
        120,
        20.0,
        (100, 50),
    ),
    class("set", Kind::Gang, (24_000, 96, 8), 2, 180, 20.0, (30, 90)),
    class("model", Kind::Gang, (8_000, 32, 2), 8, 180, 15.0, (300, 70)),
];

/// One job with what will be true of it.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) job: Job,
    pub(crate) run: Span,
    pub(crate) uses: Size,
}

fn percent(size: &Size, percent: u64) -> Size {
    Size::new(
        size.cpu.0 * percent / 100,
        size.memory.0 * percent / 100,
        size.accelerators.0,
    )
}

/// All jobs that come in `span` when so much of the cell is asked for, in order
/// of arrival; services come first of all.
pub(crate) fn jobs(site: &Site, load: (f64, f64), span: Span, seed: u64) -> Vec<Plan> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let total = site.total();
    let plain = site.plain();
    let mut plans = services(site, &plain);
    for (at, class) in CLASSES.iter().enumerate() {
        let size = match class.size.accelerators.0 {
            0 => percent(&class.size, site.scale),
            _ => class.size,
        };
        let (all, one, load) = match size.accelerators.0 {
            0 => (plain.cpu.0 as f64, size.cpu.0 as f64, load.0),
            devices => {
                let all = f64::from(total.accelerators.0);
                (all, f64::from(devices), load.1)
            }
        };
        let busy = one * f64::from(class.count) * class.mean.as_millis() as f64;
        let every = busy / (load * class.percent / 100.0 * all);
        let mut now = 0.0;
        loop {
            now += every * exponential(&mut random);
            if now >= span.as_millis() as f64 {
                break;
            }
            let queued_at = Time::from_millis(now as u64);
            plans.push(plan(site, class, at, size, queued_at, &mut random));
        }
    }
    plans.sort_by_key(|plan| plan.job.queued_at);
    for (number, plan) in (1..).zip(&mut plans) {
        plan.job.id = id::Job(number);
    }
    plans
}

fn services(site: &Site, plain: &Size) -> Vec<Plan> {
    let cores = (plain.cpu.0 as f64 * site.standing / 1_000.0) as usize;
    let replica = |at: usize| Plan {
        job: Job {
            id: id::Job(0),
            team: team(at % site.teams),
            workload: id::Workload(format!("inbox{}", at / 20)),
            kind: Kind::Service,
            size: Size::new(1_000, 2 * GIB, 0),
            count: 1,
            urgent: false,
            idempotent: true,
            queued_at: Time::default(),
            deadline: None,
            expected: None,
        },
        run: Span::from_secs(1 << 30),
        uses: Size::new(400, GIB, 0),
    };
    (0..cores).map(replica).collect()
}

fn plan(
    site: &Site,
    class: &Class,
    at: usize,
    size: Size,
    queued_at: Time,
    random: &mut ChaCha8Rng,
) -> Plan {
    // A few teams ask for most of the work.
    let skew = random.random::<f64>() * random.random::<f64>();
    let team = team((skew * site.teams as f64) as usize);
    let mean = class.mean.as_millis() as f64;
    let run = mean * (0.25 + 0.75 * exponential(random));
    let batch = class.kind == Kind::Batch;
    let urgent = batch && size.accelerators.0 < 2 && random.random::<f64>() < 0.02;
    let job = Job {
        id: id::Job(0),
        team,
        workload: id::Workload(format!("{}{}", class.name, at)),
        kind: class.kind,
        size,
        count: class.count,
        urgent,
        idempotent: !batch || random.random::<f64>() > 0.2,
        queued_at,
        deadline: None,
        expected: Some(class.mean.saturating_mul(class.declares))
            .map(|span| Span::from_millis(span.as_millis() / 100)),
    };
    Plan {
        job,
        run: Span::from_millis(run as u64 + 1),
        uses: percent(&size, class.uses),
    }
}

fn team(at: usize) -> id::Team {
    id::Team(format!("t{at}"))
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
