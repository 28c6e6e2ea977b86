//! Identifiers: numbers, names and request keys.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;
use uuid::Uuid;

use crate::unit::Wall;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into,
            Display, Serialize, Deserialize,
        )]
        #[display("{}{_0}", $prefix)]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Display,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

number!(
    /// A daemon's identity, which is kept in its data folder.
    ///
    /// A daemon whose disk was wiped is a new node with another number, as the
    /// votes and entries that the old node promised to keep are lost.
    Node, "n"
);
impl Node {
    /// The node on the VM with this address.
    ///
    /// Each wipe of the VM's disk starts another generation and so another
    /// node. The nodes that bootstrap a cell have generation zero.
    ///
    /// ```
    /// use gentianlane::id::Node;
    /// let node = Node::at_address([10, 1, 0, 30].into(), 7);
    /// assert_eq!(node.address(), Some([10, 1, 0, 30].into()));
    /// assert_eq!(Node(3).address(), None);
    /// ```
    #[must_use]
    pub fn at_address(address: Ipv4Addr, generation: u32) -> Self {
        let address = u64::from(u32::from(address));
        Self(address << u32::BITS | u64::from(generation))
    }

    /// The address of the node's VM, or `None` if the number wasn't made from
    /// an address.
    #[must_use]
    pub fn address(self) -> Option<Ipv4Addr> {
        let address = u32::try_from(self.0 >> u32::BITS).ok()?;
        (address != 0).then(|| Ipv4Addr::from(address))
    }
}

number!(
    /// A job: the tasks of one accepted request, or one replica of a service.
    Job, "j"
);
number!(
    /// An attempt to run a job, counted from one.
    Attempt, "a"
);
number!(
    /// One run of a worker's or a node's process; later runs have larger
    /// numbers.
    Incarnation, "i"
);

name!(
    /// A cell: the nodes that replicate one log, with the workers they manage.
    Cell
);
name!(
    /// A machine that runs tasks.
    Worker
);
name!(
    /// A group of callers that share a quota.
    Team
);
name!(
    /// A kind of work, as defined by a release note.
    Workload
);
name!(
    /// A failure domain: machines that may fail together, such as a zone.
    Domain
);
name!(
    /// A rack inside a failure domain.
    Rack
);
name!(
    /// A region: failure domains with low latency between them.
    Region
);

/// The idempotency key that a caller gives its request: a version 7 UUID.
///
/// The time in it tells whether a key without a record is new or so old that
/// its record may have been dropped.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct Key(Uuid);

impl Key {
    /// The key made at `issued` with 74 random bits from `random`.
    ///
    /// ```
    /// use gentianlane::{id::Key, unit::Wall};
    /// let key = Key::new(Wall::from_millis(1_700_000_000_123), &[7; 10]);
    /// assert_eq!(key.issued(), Wall::from_millis(1_700_000_000_123));
    /// ```
    #[must_use]
    pub fn new(issued: Wall, random: &[u8; 10]) -> Self {
        let builder =
            uuid::Builder::from_unix_timestamp_millis(issued.as_millis(), random);
        Self(builder.into_uuid())
    }

    /// When the key was made, by the caller's clock.
    #[must_use]
    pub fn issued(&self) -> Wall {
        let bytes = self.0.as_bytes();
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&bytes[..6]);
        Wall::from_millis(u64::from_be_bytes(millis))
    }

    /// A number below `limit` that is spread evenly over keys; zero if `limit`
    /// is zero.
    ///
    /// It is taken from the key's random bits, so it is the same for each
    /// resend of a request.
    ///
    /// ```
    /// use gentianlane::{id::Key, unit::Wall};
    /// let key = Key::new(Wall::from_millis(1), &[7; 10]);
    /// assert!(key.spread(100) < 100);
    /// assert_eq!(key.spread(100), key.spread(100));
    /// ```
    #[must_use]
    pub fn spread(&self, limit: u64) -> u64 {
        let bytes = self.0.as_bytes();
        let mut random = [0; 8];
        random[2..].copy_from_slice(&bytes[10..]);
        u64::from_be_bytes(random).checked_rem(limit).unwrap_or(0)
    }
}

/// The error for a key that isn't a version 7 UUID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("a key has to be a version 7 UUID")]
pub struct BadKey;

impl TryFrom<Uuid> for Key {
    type Error = BadKey;

    fn try_from(uuid: Uuid) -> Result<Self, BadKey> {
        match uuid.get_version_num() {
            7 => Ok(Self(uuid)),
            _ => Err(BadKey),
        }
    }
}

impl std::str::FromStr for Key {
    type Err = BadKey;

    fn from_str(text: &str) -> Result<Self, BadKey> {
        Uuid::parse_str(text).map_err(|_| BadKey)?.try_into()
    }
}

impl From<Key> for Uuid {
    fn from(key: Key) -> Self {
        key.0
    }
}

/// One task of a job.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Task {
    /// The job that the task belongs to.
    pub job: Job,
    /// The task's rank, from zero to the job's number of tasks less one.
    pub rank: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.rank)
    }
}

/// A fencing token, under which a worker starts a task at most once.
///
/// A worker that has seen a token refuses earlier attempts of the same task.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Token {
    /// The task to start.
    pub task: Task,
    /// The attempt, which increases with each start of the job.
    pub attempt: Attempt,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.task, self.attempt)
    }
}
