//! Reads a file frame by frame, in bounded memory and linear time.

use crate::frame::{HEAD, Head, Kind, Salt};
use crate::{Fault, Folder};

/// How many bytes are read at once, at least.
const WINDOW: usize = 64 << 10;

/// Where reading a file ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// After the last frame, or at the mark after it.
    Clean,
    /// Before a frame that a crash cut short.
    Torn,
    /// After the seal.
    Sealed,
}

/// One step through a file.
#[derive(Debug)]
pub(crate) enum Step {
    /// A whole frame, with its body.
    Frame(Kind, Vec<u8>),
    /// The file's end.
    End(End),
}

/// A file that is being read.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    folder: &'a dyn Folder,
    name: &'a str,
    salt: Salt,
    /// Bytes of the file.
    length: u64,
    /// Where the next frame begins.
    at: u64,
    window: Vec<u8>,
    /// Where the window begins.
    start: u64,
}

impl<'a> Reader<'a> {
    pub(crate) fn open(
        folder: &'a dyn Folder,
        name: &'a str,
        identity: u128,
    ) -> Result<Self, Fault> {
        let length = folder
            .length(name)
            .map_err(|source| Fault::of(name, source))?;
        Ok(Self {
            folder,
            name,
            salt: Salt::new(identity, name),
            length,
            at: 0,
            window: Vec::new(),
            start: 0,
        })
    }

    /// Where the next frame begins, or where the last one ended.
    pub(crate) fn at(&self) -> u64 {
        self.at
    }

    /// Damage at the frame that was read last or comes next.
    pub(crate) fn damaged(&self, offset: u64) -> Fault {
        Fault::damaged(self.name, offset)
    }

    /// The next frame, or the end.
    ///
    /// A frame that is not whole was cut short by a crash only if no frame
    /// follows: a frame is written after all before it were synced.
    pub(crate) fn step(&mut self) -> Result<Step, Fault> {
        if self.at == self.length {
            return Ok(Step::End(End::Clean));
        }
        let Some(head) = self.head(self.at)? else {
            return self.tail();
        };
        let after = self.at + HEAD as u64;
        match head.kind {
            Kind::Mark if after == self.length => Ok(Step::End(End::Clean)),
            Kind::Mark => self.tail(),
            Kind::Seal if after == self.length => Ok(Step::End(End::Sealed)),
            Kind::Seal => Err(self.damaged(self.at)),
            Kind::Title | Kind::Records | Kind::Pointer | Kind::Part => {
                if after + head.length as u64 > self.length {
                    return self.tail();
                }
                let body = self.fill(after, head.length)?.to_vec();
                if !head.agrees(&body) {
                    return self.tail();
                }
                self.at = after + head.length as u64;
                Ok(Step::Frame(head.kind, body))
            }
        }
    }

    /// The end of the file before something that isn't a whole frame.
    fn tail(&mut self) -> Result<Step, Fault> {
        let mut at = self.at + 1;
        while at + HEAD as u64 <= self.length {
            if self.head(at)?.is_some() {
                return Err(self.damaged(self.at));
            }
            at += 1;
        }
        Ok(Step::End(End::Torn))
    }

    fn head(&mut self, at: u64) -> Result<Option<Head>, Fault> {
        if at + HEAD as u64 > self.length {
            return Ok(None);
        }
        let salt = self.salt;
        Ok(Head::read(self.fill(at, HEAD)?, salt, at))
    }

    /// The bytes from `at` on, which have to be in the file.
    fn fill(&mut self, at: u64, length: usize) -> Result<&[u8], Fault> {
        let end = self.start + self.window.len() as u64;
        if at < self.start || at + length as u64 > end {
            let rest = usize::try_from(self.length - at).unwrap_or(usize::MAX);
            self.window.resize(length.max(WINDOW).min(rest), 0);
            self.start = at;
            self.folder
                .read(self.name, at, &mut self.window)
                .map_err(|source| Fault::of(self.name, source))?;
        }
        let offset = usize::try_from(at - self.start).unwrap_or(usize::MAX);
        let bytes = self.window.get(offset..offset + length);
        bytes.ok_or_else(|| Fault::damaged(self.name, at))
    }
}
