//! A cell of real daemons and stand-in workers, each a process of its own.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

pub(crate) mod system;

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gentianlane::api::{Answer, Call, MemberView, NoteText, Output, Reply, Submit};
use gentianlane::id;
use gentianlane::note::Ruling;
use gentianlane::unit::{Span, Wall};
use gentianlane::verdict::Reason;
use gentianlane_client::Client;
use tempfile::TempDir;

/// How long a condition may take to hold before the test fails.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// The pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// The release note that every cell starts with.
const NOTE: &str = include_str!("../../src/command/dev/sample.json");

/// A daemon or a worker; killed and reaped when dropped.
pub(crate) struct Process(Child);

impl Process {
    /// Starts the daemon's binary, with what it says in a file.
    pub(crate) fn start(arguments: &[&str], said: &Path) -> Self {
        let file = File::options()
            .create(true)
            .append(true)
            .open(said)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_gentianlaned"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self(child)
    }

    /// Sends a signal by its name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success(), "kill -s {name} {id}");
    }

    /// Kills the process and reaps it.
    pub(crate) fn kill(mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }

    /// Waits for the process to end by itself.
    pub(crate) fn end(mut self) -> ExitStatus {
        until("the process ends", || self.0.try_wait().unwrap())
    }

    /// The process's number.
    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Looks until there is something, and fails after [`PATIENCE`].
pub(crate) fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        thread::sleep(PAUSE);
    }
}

/// The addresses of one node.
#[derive(Clone, Copy)]
pub(crate) struct Place {
    pub(crate) http: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) rpc: SocketAddr,
}

/// Three nodes, their workers and the folder with all that they write.
pub(crate) struct Cell {
    pub(crate) folder: TempDir,
    pub(crate) places: Vec<Place>,
    pub(crate) nodes: Vec<Option<Process>>,
    pub(crate) workers: Vec<Process>,
}

impl Cell {
    /// Three nodes that serve, with the sample's release note in force and as
    /// many workers as asked for.
    pub(crate) fn start(workers: usize) -> Self {
        Self::start_with(workers, "")
    }

    /// The same, with more lines in each node's settings.
    pub(crate) fn start_with(workers: usize, more: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let places = places(3);
        let mut cell = Self {
            folder,
            nodes: places.iter().map(|_| None).collect(),
            places,
            workers: Vec::new(),
        };
        for node in 0..cell.places.len() {
            let text = settings(&cell.places, node, cell.folder.path(), more);
            fs::write(cell.path(&format!("n{node}.json")), text).unwrap();
            cell.init(node);
            cell.run(node);
        }
        cell.serves();
        cell.apply(NOTE);
        for worker in 0..workers {
            cell.work(worker);
        }
        until("the workers are known", || {
            match cell.client().call(&Call::Workers) {
                Ok(Reply::Workers(known)) => (known.len() == workers).then_some(()),
                _ => None,
            }
        });
        cell
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Makes a node's data folder.
    fn init(&self, node: usize) {
        let settings = self.path(&format!("n{node}.json"));
        let arguments = ["init", "--settings", settings.to_str().unwrap()];
        let made = Process::start(&arguments, &self.path(&format!("n{node}.log")));
        assert!(made.end().success(), "{}", self.log(node));
    }

    /// Starts a node.
    pub(crate) fn run(&mut self, node: usize) {
        let settings = self.path(&format!("n{node}.json"));
        let arguments = ["run", "--settings", settings.to_str().unwrap()];
        let process = Process::start(&arguments, &self.path(&format!("n{node}.log")));
        self.nodes[node] = Some(process);
    }

    fn work(&mut self, worker: usize) {
        let name = format!("worker-{worker}");
        let domain = format!("domain-{}", worker % 3);
        let mut arguments = vec!["worker", "--name", &name, "--domain", &domain];
        arguments.extend(["--accelerators", "8", "--entry"]);
        let mut entries: Vec<String> =
            self.entries().map(|entry| entry.to_string()).collect();
        let count = entries.len();
        entries.rotate_left(worker % count);
        arguments.extend(entries.iter().map(String::as_str));
        let said = self.path(&format!("{name}.log"));
        self.workers.push(Process::start(&arguments, &said));
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.places.iter().map(|place| place.http)
    }

    /// A client that knows all entries.
    pub(crate) fn client(&self) -> Client {
        Client::new(self.entries())
    }

    /// Waits until every node that runs says that it is ready.
    pub(crate) fn serves(&self) {
        for (place, node) in self.places.iter().zip(&self.nodes) {
            if node.is_some() {
                until("a node is ready", || is_ready(place.http).then_some(()));
            }
        }
    }

    /// Applies a release note and waits until it is in force.
    pub(crate) fn apply(&self, text: &str) {
        let text = text.to_owned();
        let call = Call::Note(NoteText { text });
        let ruling = until("the note is ruled on", || match self.client().call(&call) {
            Ok(Reply::Note(reply)) => Some(reply.ruling),
            _ => None,
        });
        assert!(matches!(ruling, Ruling::Accepted(_)), "{ruling:?}");
    }

    /// The nodes, as whoever leads sees them.
    pub(crate) fn members(&self) -> Vec<MemberView> {
        let mut client = self.client();
        until("the members are told", || {
            match client.call(&Call::Members) {
                Ok(Reply::Members(members)) => Some(members),
                _ => None,
            }
        })
    }

    /// Which of the processes leads.
    pub(crate) fn leader(&self) -> usize {
        let members = self.members();
        let leader = members.iter().find(|member| member.leader).unwrap();
        usize::try_from(leader.node.0).unwrap() - 1
    }

    /// How often a run with this payload began, at any worker.
    pub(crate) fn began(&self, payload: &str) -> usize {
        let needle = format!("payload={payload:?}");
        let count = |worker| {
            let said = fs::read_to_string(self.path(&format!("worker-{worker}.log")));
            said.unwrap()
                .lines()
                .filter(|line| line.ends_with(&needle))
                .count()
        };
        (0..self.workers.len()).map(count).sum()
    }

    /// What a node has logged.
    pub(crate) fn log(&self, node: usize) -> String {
        fs::read_to_string(self.path(&format!("n{node}.log"))).unwrap()
    }
}

/// The next port that no cell of this process has had.
static PORT: AtomicU16 = AtomicU16::new(10_000);

/// An address of the loopback range that is this process's own, so that no
/// other process takes a port on it.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low.max(1))
}

/// Addresses that nothing else uses.
pub(crate) fn places(count: usize) -> Vec<Place> {
    let next = || {
        let port = PORT.fetch_add(1, Ordering::Relaxed);
        SocketAddr::from((own_address(), port))
    };
    let place = |_| Place {
        http: next(),
        peer: next(),
        rpc: next(),
    };
    (0..count).map(place).collect()
}

fn settings(places: &[Place], node: usize, folder: &Path, more: &str) -> String {
    let peer = |(index, place): (usize, &Place)| {
        format!(
            r#"{{ "node": {}, "voter": true, "domain": "domain-{index}",
  "http": "{}", "peer": "{}", "rpc": "{}" }}"#,
            index + 1,
            place.http,
            place.peer,
            place.rpc
        )
    };
    let peers: Vec<String> = places.iter().enumerate().map(peer).collect();
    let data = folder.join(format!("n{node}"));
    format!(
        r#"// A node of a test's cell.
{{ "cell": "test", "node": {}, "data": {data:?}, {more}
"nodes": [{}] }}"#,
        node + 1,
        peers.join(",\n")
    )
}

/// Whether a node's readiness check says yes.
pub(crate) fn is_ready(http: SocketAddr) -> bool {
    status(http, "/ready") == Some(200)
}

/// The status code at a path.
pub(crate) fn status(http: SocketAddr, path: &str) -> Option<u16> {
    let response = attohttpc::get(format!("http://{http}{path}")).send();
    response.ok().map(|response| response.status().as_u16())
}

/// A request of the sample's team, under a new key.
pub(crate) fn submit(workload: &str, payload: &str) -> Submit {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let wall = Wall::from_millis(u64::try_from(since.as_millis()).unwrap());
    let random: [u8; 10] = rand::random();
    Submit {
        key: id::Key::new(wall, &random),
        team: id::Team::from("town"),
        workload: id::Workload::from(workload),
        payload: payload.to_owned(),
        count: None,
        deadline: Some(Span::from_secs(60)),
        trace: None,
        hold: Span::ZERO,
    }
}

/// Checks that an answer is whole: its own request's, done, with these texts.
pub(crate) fn check(answer: &Answer, submit: &Submit, texts: &[&str]) {
    assert_eq!(answer.key, submit.key);
    assert_eq!(answer.outcome.reason, Reason::Done, "{answer:?}");
    assert!(answer.outputs.iter().all(Output::is_whole), "{answer:?}");
    let said: Vec<&str> = answer.outputs.iter().map(|out| out.text.as_str()).collect();
    assert_eq!(said, texts, "{answer:?}");
}
