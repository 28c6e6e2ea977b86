//! The [`Folder`] of a real file system.

use indexmap::IndexMap;
use std::cell::RefCell;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::{Fault, Folder};

/// The file whose advisory lock keeps other processes out of the folder.
const LOCK_FILE: &str = "lock";

/// A folder in a real file system; files stay open after their first use.
///
/// Only a new file needs another descriptor, so that the files in use can be
/// written and synced in a process that has none left.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    /// The folder itself, for syncing it; `None` if it is read only.
    folder: Option<File>,
    files: RefCell<IndexMap<String, File>>,
    writable: bool,
    /// Keeps the folder locked until it is dropped; `None` if it is read only.
    _lock: Option<File>,
}

impl Disk {
    /// Opens and locks a folder, and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// [`Fault::Locked`] if another process, or another `Disk` in this one, has
    /// the folder open; [`Fault::Io`] if it can't be created or locked.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Fault> {
        let path = path.as_ref();
        let fail = |source| Fault::from_io(&path.display().to_string(), source);
        fs::create_dir_all(path).map_err(fail)?;
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join(LOCK_FILE))
            .map_err(fail)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Fault::Locked),
            Err(TryLockError::Error(source)) => return Err(fail(source)),
        }
        Ok(Self {
            path: path.to_owned(),
            folder: Some(File::open(path).map_err(fail)?),
            files: RefCell::default(),
            writable: true,
            _lock: Some(lock),
        })
    }

    /// Opens a folder for reading only, without a lock.
    #[must_use]
    pub fn read_only(path: impl AsRef<Path>) -> Self {
        Self {
            path: path.as_ref().to_owned(),
            folder: None,
            files: RefCell::default(),
            writable: false,
            _lock: None,
        }
    }

    /// Runs an action on a file, which is opened first if it isn't open yet.
    fn with_file<T>(
        &self,
        name: &str,
        create: bool,
        action: impl FnOnce(&File) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut files = self.files.borrow_mut();
        if let Some(file) = files.get(name) {
            return action(file);
        }
        let file = OpenOptions::new()
            .read(true)
            .write(self.writable)
            .create(create && self.writable)
            .truncate(false)
            .open(self.path.join(name))?;
        let result = action(&file);
        files.insert(name.to_owned(), file);
        result
    }

    fn close(&self, name: &str) {
        self.files.borrow_mut().swap_remove(name);
    }
}

impl Folder for Disk {
    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK_FILE
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn read(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.with_file(name, false, |file| file.read_exact_at(buffer, offset))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.with_file(name, true, |file| file.write_all_at(bytes, offset))
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.with_file(name, false, |file| file.set_len(length))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.with_file(name, false, File::sync_data)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        // An open file keeps its descriptor under the new name.
        let mut files = self.files.borrow_mut();
        files.swap_remove(to);
        if let Some(file) = files.swap_remove(from) {
            files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        match &self.folder {
            Some(folder) => folder.sync_all(),
            None => File::open(&self.path)?.sync_all(),
        }
    }
}
