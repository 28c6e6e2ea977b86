//! The project's processes on loopback addresses, the operator, consumers, and minions
//! as processes of their own.

use std::collections::HashMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::wall_ms;

pub const HOST: &str = "shop.example";
const CORES: u8 = 3;
const ENTRIES: u8 = 2;

/// The bounds of a small deployment (sites/hanafy-yard.toml).
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 200;
pub const FAR_FACTOR: f64 = 1.5;

pub struct Cluster {
    pub folder: PathBuf,
    far_factor: f64,
    net: [u8; 2],
    port: u16,
    processes: Mutex<HashMap<String, Child>>,
    record: Mutex<String>,
    began: Instant,
    next_job: Mutex<u64>,
}

/// What a minion starts with.
#[derive(Clone)]
pub struct MinionSpec {
    pub name: String,
    pub id: String,
    pub host: u8,
    pub backend: String,
    pub kind: String,
    pub cpu: u64,
}

/// A line of the minions' log.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub minion: String,
    pub what: String,
    pub task: String,
    pub run: u64,
    pub rest: String,
}

impl Cluster {
    /// Starts cores, entries and nothing else.
    pub fn start(far_factor: f64) -> Option<Self> {
        let seed = wall_ms() ^ u64::from(std::process::id()).rotate_left(17);
        let net = [100 + (seed % 100) as u8, 1 + (seed / 100 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut cluster = Self {
            folder,
            far_factor,
            net,
            port: 0,
            processes: Mutex::default(),
            record: Mutex::default(),
            began: Instant::now(),
            next_job: Mutex::new(seed << 8),
        };
        cluster.port = cluster.free_ports()?;
        for index in 1..=CORES {
            cluster.start_node("core", index, true);
        }
        for index in 1..=ENTRIES {
            cluster.start_node("entry", 10 + index, true);
        }
        Some(cluster)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    /// The first of four ports in a row that are free on all hosts.
    fn free_ports(&self) -> Option<u16> {
        let is_free = |port: u16| {
            let hosts = (1..=CORES)
                .chain(11..=10 + ENTRIES)
                .chain(21..=40)
                .chain(51..=53);
            hosts.clone().all(|host| {
                (port..port + 4)
                    .all(|port| TcpListener::bind((self.ip(host), port)).is_ok())
            })
        };
        (0..50)
            .map(|step| 21_000 + step * 16)
            .find(|port| is_free(*port))
    }

    pub fn control(&self, index: u8) -> SocketAddr {
        (self.ip(index), self.port).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=CORES).map(|index| self.control(index)).collect()
    }

    pub fn front(&self, index: u8) -> SocketAddr {
        (self.ip(10 + index), self.port).into()
    }

    pub fn minion_address(&self, host: u8) -> SocketAddr {
        (self.ip(20 + host), self.port).into()
    }

    /// Starts a core or an entry with the command of deploy/system.toml.
    pub fn start_node(&self, role: &str, host: u8, bootstrap: bool) {
        let name = format!("{role}-{host}");
        let ip = self.ip(host);
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|it| format!("\"{it}\""))
            .collect();
        let common = format!(
            "\"node\":\"{name}\",\"ip\":\"{ip}\",\"domain\":\"zone-{}\",\"link_port\":{},\
             \"seeds\":[{}],\"losses\":1,\"adviser\":\"\",\"lease_limit_ms\":{HOLD_MAX_MS},\
             \"stop_ms\":{STOP_MS},\"grace_s\":6",
            host % 10,
            self.port + 2,
            seeds.join(",")
        );
        let data = self.folder.join(format!("data-{name}"));
        let own = match role {
            "core" => format!(
                "\"control\":\"{ip}:{}\",\"bootstrap\":{bootstrap},\"data\":\"{}\",\
                 \"placement\":{{\"learn_speeds\":false,\"wait_for_places\":true,\
                 \"remote_factor\":{}}}",
                self.port,
                data.display(),
                self.far_factor
            ),
            _ => format!(
                "\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\"",
                self.port,
                self.port + 1
            ),
        };
        if role == "core" {
            let _ = fs::create_dir_all(&data);
        }
        let settings = self.folder.join(format!("{name}.settings"));
        let _ = fs::write(&settings, format!("{{{common},{own}}}"));
        let mut command = Command::new("target/release/gentianlaned");
        command
            .arg(role)
            .env_clear()
            .env("GENTIANLANE_BOOT", settings);
        self.spawn(&name, command);
    }

    pub fn start_minion(&self, spec: &MinionSpec) {
        self.start_minion_with(spec, self.minion_address(spec.host), &self.controls());
    }

    /// The address at which a minion listens behind a proxy of the test.
    pub fn inner_address(&self, host: u8) -> SocketAddr {
        (self.ip(20 + host), self.port + 3).into()
    }

    /// Starts a minion behind a proxy, whose address it reports.
    pub fn start_minion_behind_proxy(&self, spec: &MinionSpec) {
        self.start_minion_with(spec, self.inner_address(spec.host), &self.controls());
    }

    /// Tells a minion to drain and leave.
    pub fn tell_to_leave(&self, spec: &MinionSpec) {
        self.note(&format!("{} is to leave", spec.id));
        let log = self.folder.join("minions.log");
        let _ = fs::write(format!("{}.leave-{}", log.display(), spec.id), "");
    }

    /// Forgets that a minion was told to leave, so that it can start again.
    pub fn forget_leave(&self, spec: &MinionSpec) {
        let log = self.folder.join("minions.log");
        let _ = fs::remove_file(format!("{}.leave-{}", log.display(), spec.id));
    }

    /// An address for a proxy of the test before a core.
    pub fn proxy_address(&self, index: u8) -> SocketAddr {
        (self.ip(50 + index), self.port).into()
    }

    /// Starts a minion that sends to other addresses than usual that it leaves.
    pub fn start_minion_leaving_by(&self, spec: &MinionSpec, leave: &[SocketAddr]) {
        self.start_minion_with(spec, self.minion_address(spec.host), leave);
    }

    fn start_minion_with(
        &self,
        spec: &MinionSpec,
        listens: SocketAddr,
        leave: &[SocketAddr],
    ) {
        let mut command = Command::new(std::env::current_exe().unwrap());
        let controls: Vec<String> =
            self.controls().iter().map(ToString::to_string).collect();
        let leave: Vec<String> = leave.iter().map(ToString::to_string).collect();
        command.args([
            "minion",
            &spec.id,
            &listens.to_string(),
            &self.minion_address(spec.host).to_string(),
            &spec.backend,
            &format!("zone-{}", spec.host % 3 + 1),
            &spec.kind,
            &format!("r1-{}", spec.host),
            &spec.cpu.to_string(),
            &controls.join(","),
            &leave.join(","),
            &self.folder.join("minions.log").display().to_string(),
        ]);
        self.note(&format!(
            "minion {} id {} starts at {}",
            spec.name,
            spec.id,
            self.minion_address(spec.host)
        ));
        self.spawn(&spec.name, command);
    }

    fn spawn(&self, name: &str, mut command: Command) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let errors = log.try_clone().unwrap();
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("can't start {name}: {error}");
            std::process::exit(2);
        });
        self.processes
            .lock()
            .unwrap()
            .insert(name.to_owned(), child);
    }

    /// SIGKILL.
    pub fn kill(&self, name: &str) {
        if let Some(mut child) = self.processes.lock().unwrap().remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("killed {name}"));
        }
    }

    /// Sends a signal to a process of the test.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.processes.lock().unwrap().get(name).map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill")
                .args([format!("-{signal}"), id.to_string()])
                .status();
            self.note(&format!("SIG{signal} to {name}"));
        }
    }

    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_millis();
        let line = format!("{:>7} ms  {line}\n", at);
        self.record.lock().unwrap().push_str(&line);
    }

    /// Does what the platform does with processes that use more than `limit_kb`: kills
    /// them, and starts them again. Gives how many there were.
    pub fn enforce_memory(&self, limit_kb: u64) -> u32 {
        let mut killed = 0;
        for index in 1..=CORES {
            let name = format!("core-{index}");
            let id = self.processes.lock().unwrap().get(&name).map(Child::id);
            let status =
                id.and_then(|id| fs::read_to_string(format!("/proc/{id}/status")).ok());
            let used = status
                .as_deref()
                .unwrap_or_default()
                .lines()
                .find_map(|line| {
                    line.strip_prefix("VmRSS:")?
                        .split_whitespace()
                        .next()?
                        .parse::<u64>()
                        .ok()
                });
            if used.is_some_and(|used| used > limit_kb) {
                self.note(&format!("{name} uses {} kB", used.unwrap_or_default()));
                self.kill(&name);
                self.start_node("core", index, false);
                killed += 1;
            }
        }
        killed
    }

    fn end_processes(&self) {
        for (_, mut child) in self.processes.lock().unwrap().drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all processes, and writes the record with the minions' log.
    pub fn finish(&self, record: &str, verdict: &str) {
        self.end_processes();
        let mut text = self.record.lock().unwrap().clone();
        text.push_str("\nwhat the minions ran (wall clock in ms, minion, event)\n");
        let minions =
            fs::read_to_string(self.folder.join("minions.log")).unwrap_or_default();
        text.push_str(&minions);
        text.push_str(&format!("\n{verdict}\n"));
        let _ = fs::write(record, text);
        println!("{verdict}");
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }

    /// Sends an order of the operator until it is acknowledged, to one node after the
    /// other, and follows redirects.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<String> {
        let end = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < end {
            let mut node = self.controls()[turn % CORES as usize];
            turn += 1;
            for _ in 0..3 {
                let answer = http::call(
                    node,
                    method,
                    &node.to_string(),
                    path,
                    &[],
                    body,
                    Duration::from_secs(1),
                );
                match answer {
                    Ok(answer) if (200..300).contains(&answer.status) => {
                        return Some(answer.body);
                    }
                    Ok(answer) if answer.status == 307 => {
                        let target = answer.location.unwrap_or_default();
                        let target = target.trim_start_matches("http://");
                        let target = target.split('/').next().unwrap_or_default();
                        let Ok(target) = target.parse() else { break };
                        node = target;
                    }
                    Ok(answer) => {
                        self.note(&format!(
                            "operator: {method} {path} at {node}: {} {}",
                            answer.status, answer.body
                        ));
                        break;
                    }
                    Err(error) => {
                        self.note(&format!(
                            "operator: {method} {path} at {node}: {error}"
                        ));
                        break;
                    }
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Sends a configuration; true once it is acknowledged.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, &str)]) -> bool {
        self.configure_with(version, routes, 0)
    }

    /// As [`Cluster::configure`], with a number of routes without traffic besides.
    pub fn configure_with(
        &self,
        version: u64,
        routes: &[(&str, &str, &str)],
        idle: usize,
    ) -> bool {
        let idle: Vec<(String, String)> = (0..idle)
            .map(|at| (format!("r-idle-{at}"), format!("/idle-{at}/")))
            .collect();
        let idle = idle
            .iter()
            .map(|(name, prefix)| (name.as_str(), prefix.as_str(), "catalog"));
        let rows: Vec<String> = routes
            .iter()
            .copied()
            .chain(idle)
            .map(|(name, prefix, backend)| {
                format!(
                    "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                     \"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\
                     \"target_latency_ms\":1000,\"priority\":1,\"backend\":\"{backend}\",\
                     \"max_attempts\":4,\"stretch\":2.2}}"
                )
            })
            .collect();
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"catalog\",\
             \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforces_capacity\":false,\"standby\":false}}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            rows.join(",")
        );
        let first: Vec<&str> = routes.iter().map(|route| route.0).take(3).collect();
        self.note(&format!(
            "operator: sends version {version} with {} routes with traffic ({first:?} ..)",
            routes.len()
        ));
        let done = self
            .operate("POST", "/v1/config/replace", &body, Duration::from_secs(10))
            .is_some();
        self.note(&format!("operator: version {version} acknowledged: {done}"));
        done
    }

    pub fn new_job(&self) -> String {
        let mut next = self.next_job.lock().unwrap();
        *next += 1;
        format!("{:016x}", *next)
    }

    /// One attempt of a consumer; the status, or zero without an answer, and the body.
    pub fn consume(
        &self,
        entry: u8,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let deadline = [("Deadline-Ms", "3000".to_owned())];
        let answer = http::call(
            self.front(entry),
            method,
            HOST,
            path,
            &deadline,
            body,
            Duration::from_secs(3),
        );
        match answer {
            Ok(answer) => (answer.status, answer.body),
            Err(_) => (0, String::new()),
        }
    }

    /// Hands a job in, with a consumer's retries; true once it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for attempt in 0..6 {
            let (status, _) = self.consume(attempt % ENTRIES + 1, "POST", path, body);
            self.note(&format!("consumer: POST {path}: {status}"));
            match status {
                200..300 => return true,
                404 | 400 => return false,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// The state of a job; the status instead if it isn't 200.
    pub fn state(&self, path: &str) -> String {
        let (mut status, mut body) = (0, String::new());
        for attempt in 0..4 {
            (status, body) = self.consume(attempt % ENTRIES + 1, "GET", path, "");
            if !matches!(status, 0 | 429 | 500..600) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        let state = Json::parse(body.as_bytes());
        let state = state
            .as_ref()
            .and_then(|it| it.text("state"))
            .map(str::to_owned);
        state.unwrap_or_else(|| status.to_string())
    }

    /// The minions' log so far.
    pub fn events(&self) -> Vec<Event> {
        let text =
            fs::read_to_string(self.folder.join("minions.log")).unwrap_or_default();
        text.lines()
            .filter_map(|line| {
                let mut parts = line.splitn(6, ' ');
                Some(Event {
                    at: parts.next()?.parse().ok()?,
                    minion: parts.next()?.to_owned(),
                    what: parts.next()?.to_owned(),
                    task: parts.next()?.to_owned(),
                    run: parts.next().unwrap_or("0").parse().unwrap_or(0),
                    rest: parts.next().unwrap_or_default().to_owned(),
                })
            })
            .collect()
    }

    /// Waits until a condition gives a value.
    pub fn wait<T>(
        &self,
        limit: Duration,
        mut check: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + limit;
        loop {
            if let Some(value) = check() {
                return Some(value);
            }
            if Instant::now() >= end {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until both entries are ready.
    pub fn wait_ready(&self) -> bool {
        let ready = |index: u8| {
            let address = SocketAddr::from((self.ip(10 + index), self.port + 1));
            let answer = http::call(
                address,
                "GET",
                "ready",
                "/v1/ready",
                &[],
                "",
                Duration::from_secs(1),
            );
            answer.is_ok_and(|answer| answer.status == 200)
        };
        let all = || (1..=ENTRIES).all(ready).then_some(());
        self.wait(Duration::from_secs(15), all).is_some()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end_processes();
    }
}
