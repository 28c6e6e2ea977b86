//! The project's programs as processes of a small deployment: three cores and two entries
//! on loopback addresses, with settings like those of the deploy file's templates.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const HOST: &str = "jobs.example";

pub struct Fleet {
    program: PathBuf,
    pub folder: PathBuf,
    /// The second and third parts of the addresses.
    net: [u8; 2],
    ports: [u16; 6],
    children: BTreeMap<String, Child>,
    pub stop_ms: u64,
    pub lease_limit_ms: u64,
}

/// Ports that are free on all addresses.
fn free_ports() -> [u16; 6] {
    let mut ports = [0; 6];
    let sockets: Vec<TcpListener> = (0..6)
        .map(|_| TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap())
        .collect();
    for (port, socket) in ports.iter_mut().zip(&sockets) {
        *port = socket.local_addr().unwrap().port();
    }
    ports
}

impl Fleet {
    pub fn new(program: &Path) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{id}"));
        fs::create_dir_all(&folder).unwrap();
        Self {
            program: program.to_owned(),
            folder,
            net: [(id / 250 % 60 + 64) as u8, (id % 250 + 1) as u8],
            ports: free_ports(),
            children: BTreeMap::new(),
            stop_ms: 200,
            lease_limit_ms: 10_000,
        }
    }

    pub fn core_ip(&self, at: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 10 + at)
    }

    pub fn entry_ip(&self, at: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 30 + at)
    }

    pub fn worker(&self, at: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], 60 + at);
        (ip, self.ports[5]).into()
    }

    pub fn control(&self, at: u8) -> SocketAddr {
        (self.core_ip(at), self.ports[0]).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..3).map(|at| self.control(at)).collect()
    }

    pub fn front(&self, at: u8) -> SocketAddr {
        (self.entry_ip(at), self.ports[1]).into()
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        seeds.join(",")
    }

    pub fn start_core(&mut self, at: u8, bootstrap: bool) {
        let name = format!("core-{at}");
        let data = self.folder.join(format!("data-{at}"));
        fs::create_dir_all(&data).unwrap();
        let settings = format!(
            r#"{{"node":"{name}","ip":"{}","domain":"zone-{at}","control":"{}","metrics_port":{},
"link_port":{},"seeds":[{}],"bootstrap":{bootstrap},"losses":1,"data":"{}","adviser":"",
"lease_limit_ms":{},"stop_ms":{},"grace_s":6.0,"memory_mb":256,
"placement":{{"learn_speeds":false,"wait_for_places":true,"remote_factor":1.5}}}}"#,
            self.core_ip(at),
            self.control(at),
            self.ports[3],
            self.ports[2],
            self.seeds(),
            data.display(),
            self.lease_limit_ms,
            self.stop_ms,
        );
        self.spawn(&name, "core", &settings);
    }

    pub fn start_entry(&mut self, at: u8) {
        let name = format!("entry-{at}");
        let settings = format!(
            r#"{{"node":"{name}","ip":"{}","domain":"zone-{at}","front":"{}","ready":"{}","metrics_port":{},
"link_port":{},"seeds":[{}],"losses":1,"adviser":"","lease_limit_ms":{},"stop_ms":{},
"grace_s":6.0,"memory_mb":260}}"#,
            self.entry_ip(at),
            self.front(at),
            SocketAddr::from((self.entry_ip(at), self.ports[4])),
            self.ports[3],
            self.ports[2],
            self.seeds(),
            self.lease_limit_ms,
            self.stop_ms,
        );
        self.spawn(&name, "entry", &settings);
    }

    fn spawn(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.settings"));
        fs::write(&path, settings).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(&self.program)
            .arg(role)
            .env("GENTIANLANE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.insert(name.to_owned(), child);
    }

    pub fn start_all(&mut self) {
        for at in 0..3 {
            self.start_core(at, true);
        }
        for at in 0..2 {
            self.start_entry(at);
        }
    }

    pub fn pid(&self, name: &str) -> u32 {
        self.children[name].id()
    }

    /// Sends a signal to a process that this program started.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name).to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    pub fn wait_end(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.wait();
        }
    }

    /// The core that leads, by what the cores have logged.
    pub fn leader(&self) -> Option<u8> {
        (0..3).find(|&at| {
            let log = fs::read_to_string(self.folder.join(format!("core-{at}.log")));
            let log = log.unwrap_or_default();
            let role = log.lines().rev().find(|line| line.contains("role"));
            role.is_some_and(|line| line.contains("Leader"))
        })
    }

    pub fn wait_for_leader(&self) -> u8 {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if let Some(leader) = self.leader() {
                return leader;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("no core leads");
    }

    /// Sends a configuration to the cores in turn until one confirms it; how often it was
    /// sent.
    pub fn configure(&self, body: &str, first: usize) -> Result<usize, String> {
        let mut last = String::new();
        for attempt in 0..40 {
            let core = self.control(((first + attempt) % 3) as u8);
            let limit = Duration::from_millis(1_000);
            let told =
                http::ask("POST", core, HOST, "/v1/config/replace", "", body, limit);
            match told {
                Ok((200, _)) => return Ok(attempt + 1),
                other => last = format!("{other:?}"),
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(last)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of a configuration.
pub fn route(
    name: &str,
    prefix: &str,
    service: &str,
    attempts: u32,
    priority: u32,
) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"{HOST}","path_prefix":"{prefix}","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":{priority},"backend":"{service}","max_attempts":{attempts},"stretch":1.5}}"#
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
