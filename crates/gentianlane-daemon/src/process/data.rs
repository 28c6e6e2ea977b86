//! The node's data folder: made once, opened at each start.
//!
//! A voter that finds its folder empty doesn't start: it may have promised a
//! vote and acknowledged entries that it no longer knows of, and would help to
//! elect a leader that lacks them. So the first start has a command of its own.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use gentianlane::consensus::DurableState;
use gentianlane_store::{self as store, Journal, Owner};
use miette::{Diagnostic, IntoDiagnostic, Result};

use crate::process::settings::Settings;

/// Why a data folder can't be used.
#[derive(Debug, Display, Error, Diagnostic)]
pub(crate) enum Fault {
    /// The folder has no content.
    #[display("{} was never made, or its content is gone", folder.display())]
    #[diagnostic(help(
        "before a cell's very first start run `gentianlaned init --settings FILE`; \
         a node that has lost its disk comes back under another number"
    ))]
    Empty {
        /// The data folder.
        folder: PathBuf,
    },
    /// The folder has content already.
    #[display("{} isn't empty", folder.display())]
    NotEmpty {
        /// The data folder.
        folder: PathBuf,
    },
    /// The folder can't be read.
    #[display("{}: {error}", folder.display())]
    Unreadable {
        /// The data folder.
        folder: PathBuf,
        /// Why.
        #[error(source)]
        error: io::Error,
    },
    /// The journal can't be begun.
    #[display("{error}")]
    Journal {
        /// Why.
        #[error(source)]
        error: store::Fault,
    },
}

/// Makes the data folder of a node that never ran.
///
/// # Errors
///
/// [`Fault::NotEmpty`] if the folder has content, and faults of the disk.
pub(crate) fn init(settings: &Settings) -> Result<(), Fault> {
    let Some(folder) = &settings.data else {
        return Ok(());
    };
    if !is_empty(folder)? {
        let folder = folder.clone();
        return Err(Fault::NotEmpty { folder });
    }
    Journal::open(folder, &owner(settings)).map_err(|error| Fault::Journal { error })?;
    Ok(())
}

/// Checks that the data folder has been made.
///
/// # Errors
///
/// [`Fault::Empty`] if it has no content, and faults of the disk.
pub(crate) fn check(settings: &Settings) -> Result<(), Fault> {
    match &settings.data {
        Some(folder) if is_empty(folder)? => {
            let folder = folder.clone();
            Err(Fault::Empty { folder })
        }
        _ => Ok(()),
    }
}

/// Opens the journal, if the node has one.
pub(crate) fn open(settings: &Settings) -> Result<(Option<Journal>, DurableState)> {
    let Some(folder) = &settings.data else {
        return Ok((None, DurableState::default()));
    };
    let (journal, saved) = Journal::open(folder, &owner(settings)).into_diagnostic()?;
    Ok((Some(journal), saved))
}

fn owner(settings: &Settings) -> Owner {
    Owner {
        cell: settings.cell.clone(),
        node: settings.node,
    }
}

fn is_empty(folder: &Path) -> Result<bool, Fault> {
    match fs::read_dir(folder) {
        Ok(mut names) => Ok(names.next().is_none()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(true),
        Err(error) => Err(Fault::Unreadable {
            folder: folder.to_owned(),
            error,
        }),
    }
}
