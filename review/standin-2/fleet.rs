//! The project's own processes, started with the commands of the deploy file.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

unsafe extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

/// One process of the fleet.
struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    child: Child,
}

/// The figures of a site that the processes are told.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub hold_max_ms: u64,
    pub stop_ms: u64,
    pub far_factor: f64,
}

/// Those of hanafy-yard.
pub const HANAFY_YARD: Bounds = Bounds {
    hold_max_ms: 10_000,
    stop_ms: 200,
    far_factor: 1.5,
};

/// Those of norrvik-panna and norrvik-panna-grown.
pub const NORRVIK_PANNA: Bounds = Bounds {
    hold_max_ms: 6_000,
    stop_ms: 900,
    far_factor: 2.0,
};

/// A small deployment on loopback addresses: cores, entries and a temporary folder.
pub struct Fleet {
    pub cores: Vec<Ipv4Addr>,
    pub entries: Vec<Ipv4Addr>,
    pub control_port: u16,
    pub front_port: u16,
    ready_port: u16,
    /// The port at which stand-ins of servers listen, each on an address of its own.
    pub server_port: u16,
    /// The first three bytes of all addresses.
    net: [u8; 3],
    folder: PathBuf,
    processes: Vec<Process>,
}

/// A port that is free on all loopback addresses at present.
fn free_port() -> io::Result<u16> {
    let listener = TcpListener::bind("0.0.0.0:0")?;
    Ok(listener.local_addr()?.port())
}

impl Fleet {
    /// Starts cores and entries, and waits until all entries are ready or nearly so.
    pub fn start(
        cores: u8,
        entries: u8,
        bounds: Bounds,
        record: &Record,
    ) -> io::Result<Fleet> {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let seed = seed.as_nanos() as u64 ^ u64::from(std::process::id());
        let net = [127, (seed >> 12) as u8 | 1, (seed >> 20) as u8];
        let at = |host: u8| Ipv4Addr::new(net[0], net[1], net[2], host);
        let folder = std::env::temp_dir().join(format!("review-2-{seed:x}"));
        fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            cores: (1..=cores).map(at).collect(),
            entries: (101..=100 + entries).map(at).collect(),
            control_port: free_port()?,
            front_port: free_port()?,
            ready_port: free_port()?,
            server_port: free_port()?,
            net,
            folder,
            processes: Vec::new(),
        };
        let (link_port, metrics_port) = (free_port()?, free_port()?);
        let seeds: Vec<String> = fleet
            .cores
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", fleet.control_port))
            .collect();
        let seeds = seeds.join(",");
        let common = |name: &str, ip: Ipv4Addr, zone: usize| {
            format!(
                "\"node\":\"{name}\",\"ip\":\"{ip}\",\"domain\":\"zone-{zone}\",\
                 \"metrics_port\":{metrics_port},\"link_port\":{link_port},\
                 \"seeds\":[{seeds}],\"losses\":{},\"adviser\":\"\",\
                 \"lease_limit_ms\":{},\"stop_ms\":{},\"grace_s\":6",
                cores / 2,
                bounds.hold_max_ms,
                bounds.stop_ms
            )
        };
        let mut planned = Vec::new();
        for (index, &ip) in fleet.cores.iter().enumerate() {
            let name = format!("core-{}", index + 1);
            let data = fleet.folder.join(&name);
            fs::create_dir_all(&data)?;
            let text = format!(
                "{{{},\"control\":\"{ip}:{}\",\"bootstrap\":true,\"data\":\"{}\",\
                 \"placement\":{{\"learn_speeds\":false,\"wait_for_places\":true,\
                 \"remote_factor\":{}}}}}",
                common(&name, ip, index + 1),
                fleet.control_port,
                data.display(),
                bounds.far_factor
            );
            planned.push((name, "core", text));
        }
        for (index, &ip) in fleet.entries.iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let text = format!(
                "{{{},\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\"}}",
                common(&name, ip, index + 1),
                fleet.front_port,
                fleet.ready_port
            );
            planned.push((name, "entry", text));
        }
        for (name, role, text) in planned {
            let settings = fleet.folder.join(format!("{name}.settings"));
            fs::write(&settings, text)?;
            let child = spawn(&fleet.folder, &name, role, &settings)?;
            record.line(&format!(
                "started {name}: target/release/gentianlaned {role}"
            ));
            fleet.processes.push(Process {
                name,
                role,
                settings,
                child,
            });
        }
        fleet.wait_ready()?;
        record.line("all entries are ready");
        Ok(fleet)
    }

    fn wait_ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        for &ip in &self.entries {
            loop {
                let address = (ip, self.ready_port).into();
                let limit = Duration::from_millis(500);
                let answer = http::call(address, "GET", "ready", "/v1/ready", "", limit);
                if matches!(answer, Ok((200, _))) {
                    break;
                }
                if begun.elapsed() > Duration::from_secs(15) {
                    return Err(io::Error::other("an entry isn't ready after 15 s"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// An address of this deployment for a server's stand-in.
    pub fn server_address(&self, number: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(self.net[0], self.net[1], self.net[2], 200 + number);
        (ip, self.server_port).into()
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        (self.cores[core % self.cores.len()], self.control_port).into()
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        (self.entries[entry % self.entries.len()], self.front_port).into()
    }

    /// The core that leads, by the newest lines about roles in the cores' logs.
    pub fn leader(&self) -> Option<usize> {
        let mut newest = None;
        for index in 0..self.cores.len() {
            let text = self.log_text(&format!("core-{}", index + 1));
            let lines = text.lines().filter(|line| line.contains("event=role"));
            let Some(last) = lines.last() else { continue };
            let term = last.split("term=").nth(1).and_then(|rest| {
                let digits: String = rest
                    .chars()
                    .skip_while(|it| *it == '"')
                    .take_while(char::is_ascii_digit)
                    .collect();
                digits.parse::<u64>().ok()
            });
            if last.contains("Leader") {
                newest = newest.max(Some((term.unwrap_or(0), index)));
            }
        }
        newest.map(|(_, index)| index)
    }

    /// What a process has written so far.
    pub fn log_text(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str, record: &Record) {
        for process in self.processes.iter_mut().filter(|it| it.name == name) {
            let _ = process.child.kill();
            let _ = process.child.wait();
            record.line(&format!("killed {name} (SIGKILL)"));
        }
    }

    /// Starts a process that has ended again, as the platform does.
    pub fn restart(&mut self, name: &str, record: &Record) -> io::Result<()> {
        let folder = self.folder.clone();
        for process in self.processes.iter_mut().filter(|it| it.name == name) {
            process.child = spawn(&folder, name, process.role, &process.settings)?;
            record.line(&format!("started {name} again"));
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

fn spawn(folder: &Path, name: &str, role: &str, settings: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))?;
    let mut command = Command::new("target/release/gentianlaned");
    command
        .arg(role)
        .env("GENTIANLANE_BOOT", settings)
        .stdin(Stdio::null());
    command.stdout(log.try_clone()?).stderr(log);
    // SAFETY: only a system call is made between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn()
}

/// Whether an address is a loopback one; every address of a case has to be.
pub fn is_loopback(address: &SocketAddr) -> bool {
    matches!(address.ip(), IpAddr::V4(ip) if ip.is_loopback())
}
