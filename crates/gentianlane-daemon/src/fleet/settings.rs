//! The settings file of a fleet's process: JSON with comments.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::num::NonZeroU32;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::{Display, Error};
use gentianlane::fleet::dispatch;
use gentianlane::unit::Span;
use json_comments::StripComments;
use miette::Diagnostic;
use serde::Deserialize;

use crate::fleet::delivery::{Budget, Descriptors};

/// How much shorter leases are than the longest that workers grant, so that a
/// lease computed from a slightly old reading of the worker's clock never asks
/// for more than that.
const LEASE_MARGIN: Span = Span::from_millis(500);

/// The longest lease in use. The tasks of a lost worker restart only after it.
/// It has to outlast a renewal, whose answer a worker delays by up to a second,
/// and the loss of two leaders in a row, which takes up to 1.3 s each.
const MAX_LEASE: Span = Span::from_millis(5_000);

/// The share of the process's memory for jobs, as a divisor. The rest is for requests, the
/// log, snapshots on their way, workers and the allocator.
const JOB_MEMORY_PARTS: u64 = 4;

/// The memory of a process whose settings don't give it, in MiB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The process's name, for its log lines.
    pub(crate) node: String,
    /// The address of the process's VM.
    pub(crate) ip: Ipv4Addr,
    /// The VM's failure domain.
    pub(crate) domain: String,
    /// The address for callers; needed on an entry.
    #[serde(default)]
    pub(crate) front: Option<SocketAddr>,
    /// The address for the load balancer's readiness checks; needed on an entry.
    #[serde(default)]
    pub(crate) ready: Option<SocketAddr>,
    /// The address for workers and operators; needed on a core.
    #[serde(default)]
    pub(crate) control: Option<SocketAddr>,
    /// The port for connections between a fleet's processes; the same on all
    /// VMs.
    pub(crate) link_port: u16,
    /// The port on which metrics are served; they aren't if it is left out.
    #[serde(default)]
    pub(crate) metrics_port: Option<u16>,
    /// The control addresses of some cores, to find the others from. In a new
    /// fleet these are the founders, its first voters.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that a seed with an
    /// empty data folder is a founder.
    #[serde(default)]
    pub(crate) bootstrap: bool,
    /// The number of cores that may be lost at the same time; twice as many and
    /// one are voters.
    pub(crate) losses: usize,
    /// The data folder; needed on a core.
    #[serde(default)]
    pub(crate) data: Option<PathBuf>,
    /// The adviser's IP address and port, if there is an adviser.
    #[serde(default)]
    pub(crate) adviser: Option<String>,
    /// The longest lease that workers grant, in milliseconds.
    pub(crate) lease_limit_ms: u64,
    /// How long a worker may take to stop a task, in milliseconds.
    pub(crate) stop_ms: u64,
    /// The stop grace: the time from SIGTERM to SIGKILL, in seconds.
    pub(crate) grace_s: f64,
    /// The memory that the process may use, in MiB.
    #[serde(default)]
    memory_mb: Option<NonZeroU32>,
    /// How the process divides its file descriptors among its uses.
    #[serde(default)]
    pub(crate) descriptors: Descriptors,
    /// How a leader places tasks on workers that aren't all alike.
    #[serde(default)]
    pub(crate) placement: Placement,
}

/// How a leader places tasks on workers that aren't all alike. What is left out is off.
#[derive(Debug, Default, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Placement {
    /// Whether workers' speeds are learned and tasks are placed by them.
    #[serde(default)]
    learn_speeds: bool,
    /// Whether tasks wait for a better place where that pays.
    #[serde(default)]
    wait_for_places: bool,
    /// How many times as long tasks run away from their data, at least 1.
    #[serde(default = "no_slowdown")]
    remote_factor: f64,
}

const fn no_slowdown() -> f64 {
    1.0
}

/// A fault of a settings file.
#[derive(Debug, Display, Error, Diagnostic)]
pub(crate) enum Fault {
    /// The file can't be read.
    #[display("{}: {error}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading it.
        #[error(source)]
        error: std::io::Error,
    },
    /// The file isn't valid JSON, or has missing, unknown or invalid keys.
    #[display("{}: {error}", path.display())]
    Content {
        /// The path of the file.
        path: PathBuf,
        /// The error of parsing it, with line and column.
        #[error(source)]
        error: serde_json::Error,
    },
    /// The budgets of descriptors exceed what the process may open.
    #[display(
        "{}: line {line}: the descriptors add up to {sum}, but the process may open {limit}",
        path.display()
    )]
    #[diagnostic(help("lower a budget, or raise the process's limit of open files"))]
    Descriptors {
        /// The path of the file.
        path: PathBuf,
        /// The line of the key.
        line: usize,
        /// The sum of the budgets, of which those left out have their defaults.
        sum: usize,
        /// How many descriptors the process may open.
        limit: usize,
    },
    /// A key that this kind of process needs is missing.
    #[display("the settings lack the key {field}, which this process needs")]
    #[diagnostic(help("a core needs control and data, an entry front and ready"))]
    Missing {
        /// The missing key.
        field: &'static str,
    },
}

impl Settings {
    /// Reads a settings file. Which optional keys are needed is checked only at
    /// start, since it depends on the kind of process.
    ///
    /// # Errors
    ///
    /// [`Fault::File`], [`Fault::Content`] with the line and column, or
    /// [`Fault::Descriptors`].
    pub(crate) fn read(path: &Path) -> Result<Self, Fault> {
        let text = std::fs::read(path).map_err(|error| Fault::File {
            path: path.to_owned(),
            error,
        })?;
        let parsed = serde_json::from_reader(StripComments::new(text.as_slice()));
        let settings: Self = parsed.map_err(|error| Fault::Content {
            path: path.to_owned(),
            error,
        })?;
        settings.check_descriptors(path, &text)?;
        Ok(settings)
    }

    /// Fails if the process can't open as many descriptors as its budgets add up to.
    fn check_descriptors(&self, path: &Path, text: &[u8]) -> Result<(), Fault> {
        let budget = self.descriptor_budget();
        if budget.sum() <= budget.limit {
            return Ok(());
        }
        let key = b"\"descriptors\"";
        let mut lines = text.split(|&byte| byte == b'\n');
        let at = lines.position(|line| line.windows(key.len()).any(|part| part == key));
        Err(Fault::Descriptors {
            path: path.to_owned(),
            line: at.map_or(1, |at| at + 1),
            sum: budget.sum(),
            limit: budget.limit,
        })
    }

    /// How the process divides its descriptors.
    pub(crate) fn descriptor_budget(&self) -> Budget {
        Budget::of_process(self.descriptors)
    }

    /// The memory that the process may use, in bytes.
    pub(crate) fn memory_limit(&self) -> u64 {
        let mebibytes = self.memory_mb.map_or(DEFAULT_MEMORY_MB, NonZeroU32::get);
        u64::from(mebibytes) << 20
    }

    /// The address for connections from other processes of the fleet.
    pub(crate) fn link_address(&self) -> SocketAddr {
        (self.ip, self.link_port).into()
    }

    /// The IPv4 addresses of the seeds; other seeds are left out.
    pub(crate) fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let ip = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(ip).collect()
    }

    /// The adviser's address; `None` also if it isn't an IP address and port.
    pub(crate) fn adviser_address(&self) -> Option<SocketAddr> {
        self.adviser.as_ref()?.parse().ok()
    }

    /// The stop grace; zero if the setting isn't a valid duration.
    pub(crate) fn stop_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// The setup of the dispatcher.
    pub(crate) fn dispatch_setup(&self) -> dispatch::Setup {
        let granted = Span::from_millis(self.lease_limit_ms).saturating_sub(LEASE_MARGIN);
        dispatch::Setup {
            lease: granted.min(MAX_LEASE),
            lease_limit: Span::from_millis(self.lease_limit_ms),
            stop_time: Span::from_millis(self.stop_ms),
            learn_speeds: self.placement.learn_speeds,
            wait_for_places: self.placement.wait_for_places,
            // A cast from a float saturates; factors below one mean no difference.
            remote_slowdown: ((self.placement.remote_factor * 1_000.0) as u64).max(1_000),
            job_memory: self.memory_limit() / JOB_MEMORY_PARTS,
            renewal_limit: self.descriptor_budget().worker_limits().delayed,
            ..dispatch::Setup::default()
        }
    }
}
