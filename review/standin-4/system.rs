//! The project's own processes, started with the commands and the settings templates of
//! the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

const CONTROL_PORT: u16 = 8144;
const LINK_PORT: u16 = 7380;
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const METRICS_PORT: u16 = 9464;
const ADVISER_PORT: u16 = 8142;
pub const WORKER_PORT: u16 = 8080;

/// The bounds of the small deployment `hanafy-yard`.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 200;

const ZONES: [&str; 3] = ["cairo-a", "cairo-b", "cairo-c"];

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Three cores and two entries, each on a loopback address of its own.
pub struct System {
    folder: PathBuf,
    /// The first two numbers of all addresses.
    net: (u8, u8),
    processes: Vec<Process>,
}

struct Process {
    name: String,
    child: Child,
}

impl System {
    /// Starts all processes for the first time.
    pub fn start(record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir()
            .join(format!("gentianlane-review-4-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut system = Self {
            folder,
            net: free_net()?,
            processes: Vec::new(),
        };
        for (zone, name) in ["core-1", "core-2", "core-3"].into_iter().enumerate() {
            system.run(record, "core", name, system.core_ip(zone), zone)?;
        }
        for (zone, name) in ["entry-1", "entry-2"].into_iter().enumerate() {
            system.run(record, "entry", name, system.entry_ip(zone), zone)?;
        }
        Ok(system)
    }

    fn ip(&self, low: u8) -> String {
        format!("127.{}.{}.{low}", self.net.0, self.net.1)
    }

    fn core_ip(&self, zone: usize) -> String {
        self.ip(1 + zone as u8)
    }

    fn entry_ip(&self, zone: usize) -> String {
        self.ip(11 + zone as u8)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let address = |zone| format!("{}:{CONTROL_PORT}", self.core_ip(zone)).parse();
        (0..3).filter_map(|zone| address(zone).ok()).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        let address = |zone| format!("{}:{FRONT_PORT}", self.entry_ip(zone)).parse();
        (0..2).filter_map(|zone| address(zone).ok()).collect()
    }

    pub fn adviser_address(&self) -> SocketAddr {
        ([127, self.net.0, self.net.1, 90], ADVISER_PORT).into()
    }

    pub fn worker_address(&self, number: u8) -> SocketAddr {
        let ip = [127, self.net.0, self.net.1, 100 + number];
        (ip, WORKER_PORT).into()
    }

    /// Starts one process, as the deploy file's `run` and `template` say.
    fn run(
        &mut self,
        record: &Record,
        role: &str,
        name: &str,
        ip: String,
        zone: usize,
    ) -> io::Result<()> {
        let data = self.folder.join(name);
        fs::create_dir_all(&data)?;
        let seeds = self.controls();
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let template = fs::read_to_string(format!("deploy/{role}.settings"))?;
        let values = [
            ("node_name", name.to_owned()),
            ("ip", ip.clone()),
            ("zone", ZONES[zone].to_owned()),
            ("listen_addrs.control", format!("{ip}:{CONTROL_PORT}")),
            ("listen_addrs.front", format!("{ip}:{FRONT_PORT}")),
            ("listen_addrs.readiness", format!("{ip}:{READY_PORT}")),
            ("port_range.0", LINK_PORT.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bootstrap|json", "true".to_owned()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("data_dir", data.display().to_string()),
            ("recommendation", self.adviser_address().to_string()),
            ("bounds.hold_max_ms", HOLD_MAX_MS.to_string()),
            ("bounds.stop_ms", STOP_MS.to_string()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.far_factor", "1.5".to_owned()),
            ("limits.memory_mb", "256".to_owned()),
        ];
        let mut text = template;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("a placeholder of the template is unknown"));
        }
        let settings = self.folder.join(format!("{name}.settings"));
        fs::write(&settings, text)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/gentianlaned");
        command
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("GENTIANLANE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The processes end with this one, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn()?;
        record.note(format!("start {name} pid={}", child.id()));
        self.processes.push(Process {
            name: name.to_owned(),
            child,
        });
        Ok(())
    }

    /// Waits until both entries are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let tries = limit.as_millis() / 100;
        (0..tries).any(|_| {
            thread::sleep(Duration::from_millis(100));
            (0..2).all(|zone| {
                let address = format!("{}:{READY_PORT}", self.entry_ip(zone)).parse();
                let Ok(address) = address else {
                    return false;
                };
                let second = Duration::from_secs(1);
                let checked =
                    http::call(address, "GET", "/v1/ready", "lb", "", "", second);
                checked.is_ok_and(|response| response.status() == 200)
            })
        })
    }

    /// The names of the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if !matches!(process.child.try_wait(), Ok(None)) {
                ended.push(process.name.clone());
            }
        }
        ended
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Loopback addresses on which the ports are free.
fn free_net() -> io::Result<(u8, u8)> {
    let first = (std::process::id() % 200) as u8;
    let is_free = |net: (u8, u8)| {
        let bind = |low: u8, port: u16| {
            TcpListener::bind(SocketAddr::from(([127, net.0, net.1, low], port))).is_ok()
        };
        let cores = (1..=3).all(|low| bind(low, CONTROL_PORT) && bind(low, LINK_PORT));
        let entries = (11..=12).all(|low| {
            bind(low, FRONT_PORT) && bind(low, READY_PORT) && bind(low, LINK_PORT)
        });
        let metrics = [1, 2, 3, 11, 12]
            .into_iter()
            .all(|low| bind(low, METRICS_PORT));
        let workers = (101..=120).all(|low| bind(low, WORKER_PORT));
        let adviser = bind(90, ADVISER_PORT);
        adviser && cores && entries && metrics && workers
    };
    let nets = (0..50).map(|step| (77, first.wrapping_add(step)));
    nets.into_iter()
        .find(|&net| is_free(net))
        .ok_or(io::Error::other("no free ports"))
}

/// Whether the processes are built.
pub fn is_built() -> bool {
    Path::new("target/release/gentianlaned").exists()
}
