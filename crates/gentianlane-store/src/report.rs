//! Read-only inspection of a data folder.

use gentianlane::consensus::{Ballot, Index, Position, Voters};
use std::path::Path;

use crate::reader::End;
use crate::replay::Replay;
use crate::{Disk, Fault, Folder, Identity, identity, recovery, segment, snapshot};

/// The content of a data folder, as far as it can be read.
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
    /// The folder's identity; `None` if it couldn't be read.
    pub identity: Option<Identity>,
    /// The newest snapshot; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// The live segments in order.
    pub segments: Vec<Segment>,
    /// The last stored ballot.
    pub ballot: Ballot,
    /// The number of entries after the snapshot.
    pub entries: u64,
    /// The position of the last entry.
    pub last: Position,
    /// The first fault that keeps a node from opening the folder; the other
    /// fields hold what was read before it.
    pub fault: Option<Fault>,
}

/// A stored snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The name of its file.
    pub file: String,
    /// The last entry that it covers.
    pub last: Position,
    /// The voters as of that entry.
    pub voters: Voters,
    /// The length of its data in bytes.
    pub bytes: u64,
}

/// A live segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The name of its file.
    pub file: String,
    /// The length in bytes up to the end of the last whole frame.
    pub bytes: u64,
    /// The number of frames, without the file header.
    pub writes: u64,
    /// The number of entries, including those that were replaced later.
    pub entries: u64,
    /// The highest index of an entry, or zero if there is none.
    pub max_index: Index,
    /// How it ends.
    pub tail: Tail,
}

/// How a segment ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Tail {
    /// After a whole frame; further records are appended here.
    #[display("open")]
    Open,
    /// With a torn write, which is discarded when the folder is opened.
    #[display("cut short")]
    Torn,
    /// With a seal; the next segment continues it.
    #[display("sealed")]
    Sealed,
}

impl Report {
    /// Inspects a folder without writing to it or locking it.
    #[must_use]
    pub fn read(folder: impl AsRef<Path>) -> Self {
        Self::read_in(&Disk::read_only(folder))
    }

    /// Inspects any folder.
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
