//! The settings of a fleet's process: JSON with comments.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::{Display, Error};
use gentianlane::fleet::dispatch;
use gentianlane::unit::Span;
use json_comments::StripComments;
use miette::Diagnostic;
use serde::Deserialize;

/// How much shorter than workers grant at most a lease is kept, so that a
/// reading of their clock that is a little old never asks for too much.
const LEASE_MARGIN: Span = Span::from_millis(500);

/// The longest lease in use. Tasks of a lost worker wait this long; it has to
/// outlast a hold of a second and the loss of two leaders in a row, which took
/// up to 1.3 s each in the bench's runs.
const MAX_LEASE: Span = Span::from_millis(5_000);

/// One process's settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The process's name, for the log.
    pub(crate) node: String,
    /// The VM's address.
    pub(crate) ip: Ipv4Addr,
    /// Its failure domain.
    pub(crate) domain: String,
    /// Where callers connect, on an entry.
    #[serde(default)]
    pub(crate) front: Option<SocketAddr>,
    /// Where the balancer asks whether the entry is ready.
    #[serde(default)]
    pub(crate) ready: Option<SocketAddr>,
    /// Where workers and operators connect, on a core.
    #[serde(default)]
    pub(crate) control: Option<SocketAddr>,
    /// The port for a fleet's processes among themselves; the same on all VMs.
    pub(crate) link_port: u16,
    /// Where metrics are served; nowhere if it's left out.
    #[serde(default)]
    pub(crate) metrics_port: Option<u16>,
    /// The control addresses of some cores.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub(crate) bootstrap: bool,
    /// How many cores may be lost at the same time.
    pub(crate) losses: usize,
    /// The data folder, on a core.
    #[serde(default)]
    pub(crate) data: Option<PathBuf>,
    /// Where advice is to be had, if anywhere.
    #[serde(default)]
    pub(crate) adviser: Option<String>,
    /// The longest lease that workers grant, in milliseconds.
    pub(crate) lease_limit_ms: u64,
    /// How long a stop may take at a worker, in milliseconds.
    pub(crate) stop_ms: u64,
    /// How long after SIGTERM the process is killed, in seconds.
    pub(crate) grace_s: f64,
}

/// Why settings can't be used.
#[derive(Debug, Display, Error, Diagnostic)]
pub(crate) enum Fault {
    /// The file can't be read.
    #[display("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        #[error(source)]
        error: std::io::Error,
    },
    /// The file's content isn't settings.
    #[display("{}: {error}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// Why, with line and column.
        #[error(source)]
        error: serde_json::Error,
    },
    /// A process of this kind needs more.
    #[display("the settings don't say {field}, which this process needs")]
    #[diagnostic(help("a core needs control and data, an entry front and ready"))]
    Missing {
        /// The field.
        field: &'static str,
    },
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// A [`Fault`] with the place in the file.
    pub(crate) fn read(path: &Path) -> Result<Self, Fault> {
        let text = std::fs::read(path).map_err(|error| Fault::File {
            path: path.to_owned(),
            error,
        })?;
        serde_json::from_reader(StripComments::new(text.as_slice())).map_err(|error| {
            Fault::Content {
                path: path.to_owned(),
                error,
            }
        })
    }

    /// Where this process's own kind listens.
    pub(crate) fn link_address(&self) -> SocketAddr {
        (self.ip, self.link_port).into()
    }

    /// The VMs of the seeds.
    pub(crate) fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let ip = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(ip).collect()
    }

    /// Where advice is to be had.
    pub(crate) fn adviser_address(&self) -> Option<SocketAddr> {
        self.adviser.as_ref()?.parse().ok()
    }

    /// How long a process that is told to stop has.
    pub(crate) fn stop_grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// The dispatch's part.
    pub(crate) fn dispatch_setup(&self) -> dispatch::Setup {
        let granted = Span::from_millis(self.lease_limit_ms).saturating_sub(LEASE_MARGIN);
        dispatch::Setup {
            lease: granted.min(MAX_LEASE),
            stop_time: Span::from_millis(self.stop_ms),
            ..dispatch::Setup::default()
        }
    }
}
