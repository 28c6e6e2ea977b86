//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// The time since the start of the test.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time in seconds before it.
    pub fn note(&self, text: impl std::fmt::Display) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
