//! What a data folder holds, looked at without a change to it.

use gentianlane::consensus::{Ballot, Index, Position, Voters};
use std::path::Path;

use crate::reader::End;
use crate::replay::Replay;
use crate::{Disk, Fault, Folder, Identity, identity, recovery, segment, snapshot};

/// What a data folder holds, as far as it can be read.
///
/// ```no_run
/// let report = gentianlane_store::Report::read("data/node-1");
/// match &report.fault {
///     Some(fault) => println!("{fault}"),
///     None => println!("{} entries", report.entries),
/// }
/// ```
#[derive(Debug, Default)]
pub struct Report {
    /// Whose the folder is.
    pub identity: Option<Identity>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The segments that count, in order.
    pub segments: Vec<Segment>,
    /// The newest promise.
    pub ballot: Ballot,
    /// How many entries the log has after the snapshot.
    pub entries: u64,
    /// The last entry.
    pub last: Position,
    /// The first thing that keeps a node from opening the folder; what is said
    /// above was read before it.
    pub fault: Option<Fault>,
}

/// One snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Its file.
    pub file: String,
    /// The last entry that it covers.
    pub last: Position,
    /// The voters at that entry.
    pub voters: Voters,
    /// Bytes of the state.
    pub bytes: u64,
}

/// One segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its file.
    pub file: String,
    /// Bytes up to the last whole write.
    pub bytes: u64,
    /// How many writes it holds.
    pub writes: u64,
    /// How many entries it holds, those that were replaced among them.
    pub entries: u64,
    /// The newest index of an entry.
    pub max_index: Index,
    /// What stands at its end.
    pub tail: Tail,
}

/// What stands at the end of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Tail {
    /// A segment that is written to.
    #[display("open")]
    Open,
    /// A write that a crash cut short; opening the folder drops it.
    #[display("cut short")]
    Torn,
    /// The segment is followed by another.
    #[display("sealed")]
    Sealed,
}

impl Report {
    /// Looks at a folder; nothing is written, and no lock is taken.
    #[must_use]
    pub fn read(folder: impl AsRef<Path>) -> Self {
        Self::read_in(&Disk::read_only(folder))
    }

    /// Looks at any folder.
    #[must_use]
    pub fn read_in(folder: &dyn Folder) -> Self {
        let mut report = Self::default();
        report.fault = report.fill(folder).err();
        report
    }

    fn fill(&mut self, folder: &dyn Folder) -> Result<(), Fault> {
        let names = recovery::file_names(folder)?;
        self.identity = Identity::read(folder, &names)?;
        let Some(identity) = &self.identity else {
            return Err(Fault::missing(identity::FILE_NAME));
        };
        let folder_id = identity.folder_id;
        let number = snapshot::numbers(&names).last().copied().unwrap_or(0);
        let mut replay = Replay::default();
        let mut first_segment = 1;
        if number > 0 {
            let header = snapshot::scan(folder, folder_id, number, |_| {})?;
            replay = Replay::from_position(number, header.last);
            first_segment = header.first_segment;
            self.last = header.last;
            self.snapshot = Some(Snapshot {
                file: snapshot::name(number),
                last: header.last,
                voters: header.voters,
                bytes: header.length,
            });
        }
        let numbers = recovery::required_segments(&names, first_segment, number)?;
        let mut scans = Vec::new();
        for &number in &numbers {
            let scan = segment::scan(folder, folder_id, number, &mut replay)?;
            scans.push((number, scan));
            self.segments.push(Segment {
                file: segment::name(number),
                bytes: scan.end,
                writes: scan.frames,
                entries: scan.entries,
                max_index: scan.max_index,
                tail: match scan.tail {
                    End::Clean => Tail::Open,
                    End::Torn => Tail::Torn,
                    End::Sealed => Tail::Sealed,
                },
            });
            self.ballot = replay.state.ballot;
            self.entries = replay.state.entries.len() as u64;
            self.last = replay.terms.position();
        }
        recovery::check_seals(&scans).map(|_| ())
    }
}
