//! Names of the things that a cell knows.

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
    /// A daemon's identity for as long as its data folder lives.
    ///
    /// A node whose disk was wiped comes back under another number.
    Node, "n"
);
impl Node {
    /// The number of a node that stands on the VM with this address.
    ///
    /// A disk that was wiped is another generation: the same VM comes back as
    /// another node. Founders are of generation zero.
    ///
    /// ```
    /// use gentianlane::id::Node;
    /// let node = Node::on([10, 1, 0, 30].into(), 7);
    /// assert_eq!(node.seat(), Some([10, 1, 0, 30].into()));
    /// assert_eq!(Node(3).seat(), None);
    /// ```
    #[must_use]
    pub fn on(address: Ipv4Addr, generation: u32) -> Self {
        let seat = u64::from(u32::from(address));
        Self(seat << u32::BITS | u64::from(generation))
    }

    /// The address of the VM that the node stands on, if its number tells.
    #[must_use]
    pub fn seat(self) -> Option<Ipv4Addr> {
        let seat = u32::try_from(self.0 >> u32::BITS).ok()?;
        (seat != 0).then(|| Ipv4Addr::from(seat))
    }
}

number!(
    /// A job: what one accepted request or one replica of a service asks for.
    Job, "j"
);
number!(
    /// How often a job has been handed to workers, counted from one.
    Attempt, "a"
);
number!(
    /// One life of a worker's or a node's process; a later life is larger.
    Incarnation, "i"
);

name!(
    /// A cell: one set of nodes that agree with one another.
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
    /// A named kind of work that a release note has added.
    Workload
);
name!(
    /// A failure domain: what fails together, such as a zone.
    Domain
);
name!(
    /// A rack inside a failure domain.
    Rack
);
name!(
    /// A region: domains with a short link between them.
    Region
);

/// What the caller calls its request: a version 7 UUID.
///
/// Its embedded time tells a key that is too old to have a record from one
/// that is new.
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

    /// When the caller says it made the key.
    #[must_use]
    pub fn issued(&self) -> Wall {
        let bytes = self.0.as_bytes();
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&bytes[..6]);
        Wall::from_millis(u64::from_be_bytes(millis))
    }

    /// A number below `limit` that differs from key to key, or zero.
    ///
    /// It comes from the key's random bits, so that what depends on it is the
    /// same for every resend and spread over callers.
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

/// A key that isn't a version 7 UUID.
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

/// One task of a job: its rank from zero to the job's count less one.
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
    /// Which of the job's tasks it is.
    pub rank: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.rank)
    }
}

/// The fencing token under which a worker may start a task once.
///
/// A worker that has seen a token refuses lower attempts of the same task.
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
    /// The attempt, rising for each job.
    pub attempt: Attempt,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.task, self.attempt)
    }
}
