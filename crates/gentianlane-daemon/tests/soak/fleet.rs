//! The fleet under test: cores and entries as real processes, on a loopback net of
//! their own, and the operator who changes their configuration.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::common::{Process, until};
use crate::worker::STOP_MS;

pub(crate) const CORES: u8 = 3;
pub(crate) const ENTRIES: u8 = 2;

/// After how many failed runs a task isn't started again.
pub(crate) const ATTEMPTS: u64 = 3;

// Fixed ports, below those that the system hands out: the net tells fleets apart.
const CONTROL: u16 = 7_001;
const LINK: u16 = 7_002;
const FRONT: u16 = 7_003;
const READY: u16 = 7_004;
const WORKER: u16 = 7_005;

/// Held while a fleet uses its net.
const CLAIM: u16 = 7_006;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Core,
    Entry,
}

/// One of the fleet's processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) role: Role,
    pub(crate) number: u8,
}

impl Member {
    pub(crate) fn all() -> impl Iterator<Item = Self> {
        let of = |role, count| (0..count).map(move |number| Self { role, number });
        of(Role::Core, CORES).chain(of(Role::Entry, ENTRIES))
    }

    pub(crate) fn name(self) -> String {
        match self.role {
            Role::Core => format!("core-{}", self.number),
            Role::Entry => format!("entry-{}", self.number),
        }
    }

    fn host(self) -> u8 {
        match self.role {
            Role::Core => 1 + self.number,
            Role::Entry => 11 + self.number,
        }
    }

    fn index(self) -> usize {
        match self.role {
            Role::Core => self.number.into(),
            Role::Entry => (CORES + self.number).into(),
        }
    }
}

pub(crate) struct Fleet {
    pub(crate) folder: PathBuf,
    /// The longest lease that a worker grants.
    pub(crate) lease_limit_ms: u64,
    net: [u8; 3],
    _claim: TcpListener,
    processes: Vec<Mutex<Option<Process>>>,
    /// The length of each process's log at its last start.
    starts: Vec<AtomicU64>,
    version: AtomicU64,
}

/// The first net from 127.160.0 on that nobody has claimed.
fn claim_net() -> ([u8; 3], TcpListener) {
    let nets = (160..224).flat_map(|high| (0..=255).map(move |low| [127, high, low]));
    let claim = |net: [u8; 3]| {
        let address = (Ipv4Addr::new(net[0], net[1], net[2], 254), CLAIM);
        Some((net, TcpListener::bind(address).ok()?))
    };
    nets.into_iter().find_map(claim).unwrap()
}

impl Fleet {
    pub(crate) fn start(folder: PathBuf, lease_limit_ms: u64) -> Self {
        let (net, claim) = claim_net();
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let fleet = Self {
            folder,
            lease_limit_ms,
            net,
            _claim: claim,
            processes: Member::all().map(|_| Mutex::new(None)).collect(),
            starts: Member::all().map(|_| AtomicU64::new(0)).collect(),
            version: AtomicU64::new(0),
        };
        for member in Member::all() {
            fleet.run(member, true);
        }
        fleet.configure();
        fleet
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host)
    }

    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        let address = |number| (self.ip(1 + number), CONTROL).into();
        (0..CORES).map(address).collect()
    }

    pub(crate) fn front(&self, number: u8) -> SocketAddr {
        (self.ip(11 + number), FRONT).into()
    }

    pub(crate) fn worker_address(&self, slot: u8) -> SocketAddr {
        (self.ip(21 + slot), WORKER).into()
    }

    /// Starts a process, with its settings written anew.
    pub(crate) fn run(&self, member: Member, bootstrap: bool) {
        let name = member.name();
        let path = self.write_settings(member, bootstrap);
        let role = match member.role {
            Role::Core => "core",
            Role::Entry => "entry",
        };
        let arguments = [role, "--settings", path.to_str().unwrap()];
        let said = self.folder.join(format!("{name}.log"));
        let length = fs::metadata(&said).map_or(0, |it| it.len());
        self.starts[member.index()].store(length, Ordering::SeqCst);
        let process = Process::start(&arguments, &said);
        *self.processes[member.index()].lock().unwrap() = Some(process);
    }

    pub(crate) fn write_settings(&self, member: Member, bootstrap: bool) -> PathBuf {
        let name = member.name();
        let ip = self.ip(member.host());
        let mut settings = json!({
            "node": name, "ip": ip, "domain": "d", "link_port": LINK,
            "seeds": self.controls(), "losses": 1, "adviser": "",
            "lease_limit_ms": self.lease_limit_ms, "stop_ms": STOP_MS, "grace_s": 6,
        });
        match member.role {
            Role::Core => {
                settings["control"] = json!(SocketAddr::from((ip, CONTROL)));
                settings["bootstrap"] = bootstrap.into();
                settings["data"] = json!(self.folder.join(format!("data-{name}")));
            }
            Role::Entry => {
                settings["front"] = json!(SocketAddr::from((ip, FRONT)));
                settings["ready"] = json!(SocketAddr::from((ip, READY)));
            }
        }
        let path = self.folder.join(format!("{name}.json"));
        let new = path.with_extension("new");
        fs::write(&new, settings.to_string()).unwrap();
        fs::rename(new, &path).unwrap();
        path
    }

    pub(crate) fn signal(&self, member: Member, name: &str) {
        if let Some(process) = &*self.processes[member.index()].lock().unwrap() {
            process.signal(name);
        }
    }

    pub(crate) fn kill(&self, member: Member) {
        let process = self.processes[member.index()].lock().unwrap().take();
        process.unwrap().kill();
    }

    /// Sends SIGTERM and waits for the process's end.
    pub(crate) fn stop(&self, member: Member) {
        let process = self.processes[member.index()]
            .lock()
            .unwrap()
            .take()
            .unwrap();
        process.signal("TERM");
        let ended = process.end();
        assert!(ended.success(), "{}: {ended}", member.name());
    }

    /// Sends the next version of the configuration, to one core after another until one
    /// has confirmed it.
    pub(crate) fn configure(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let route = |name: &str, prefix: String| {
            json!({
                "name": name, "hostname": "soak.example", "path_prefix": prefix,
                "timeout_ms": 3_000 + version, "target_latency_ms": 250, "priority": 0,
                "backend": "pool", "max_attempts": ATTEMPTS, "stretch": 1.5,
            })
        };
        let body = json!({
            "version": version,
            "routes": [route("q", "/q/".into()), route("other", format!("/v{version}/"))],
            "services": [{"name": "pool", "enforces_capacity": false, "standby": false}],
        });
        until("a configuration is confirmed", || {
            self.controls().into_iter().find_map(|core| {
                let path = format!("http://{core}/v1/config/replace");
                let call = attohttpc::post(path).timeout(Duration::from_secs(2));
                let response = call.text(body.to_string()).send().ok()?;
                (response.status().as_u16() == 200).then_some(())
            })
        });
        version
    }

    /// What a process has logged since its last start.
    pub(crate) fn said_since_start(&self, member: Member) -> String {
        let path = self.folder.join(format!("{}.log", member.name()));
        let said = fs::read(path).unwrap();
        let start = self.starts[member.index()].load(Ordering::SeqCst);
        let start = usize::try_from(start).unwrap();
        String::from_utf8_lossy(&said[start..]).into_owned()
    }

    /// What the processes have logged about a job, in the order of time.
    pub(crate) fn log_of(&self, job: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for member in Member::all() {
            let name = member.name();
            let said = fs::read(self.folder.join(format!("{name}.log"))).unwrap();
            let said = String::from_utf8_lossy(&said);
            let found = said.lines().filter(|line| line.contains(job));
            lines.extend(found.map(|line| format!("{name} {line}")));
        }
        lines.sort_by_key(|line| line.split("at=").nth(1).map(str::to_owned));
        lines
    }

    /// The processes that have panicked.
    pub(crate) fn panics(&self) -> Vec<String> {
        self.log_of("panicked at")
    }

    /// Why the runs of a task were released, as the cores have logged it.
    pub(crate) fn releases(&self, task: &str) -> Vec<String> {
        let lines = self.log_of(task).into_iter();
        let released = lines.filter(|line| line.contains("event=gone"));
        let why = |line: String| line.split_once("run=").map(|it| it.1.to_owned());
        released.filter_map(why).collect()
    }

    pub(crate) fn write(&self, name: &str, value: &impl ToString) {
        fs::write(self.folder.join(name), value.to_string()).unwrap();
    }
}
