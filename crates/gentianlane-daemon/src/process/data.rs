//! The node's data folder: created by `init`, opened at each start.
//!
//! A node doesn't start with an empty folder. If its content was lost, the node
//! may have cast votes and acknowledged entries that it no longer knows of, and
//! could help to elect a leader that lacks those entries. The folder is therefore
//! created by a separate command before the first start.

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
    /// The folder is missing or empty.
    #[display("{} was never initialised, or its content is gone", folder.display())]
    #[diagnostic(help(
        "before a cell's very first start run `gentianlaned init --settings FILE`; \
         a node that has lost its disk has to rejoin under a new node number"
    ))]
    Empty {
        /// The data folder.
        folder: PathBuf,
    },
    /// The folder to initialise has content already.
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
        /// The error from the file system.
        #[error(source)]
        error: io::Error,
    },
    /// The journal can't be created.
    #[display("{error}")]
    Journal {
        /// The journal's fault.
        #[error(source)]
        error: store::Fault,
    },
}

/// Creates the data folder and the journal of a new node.
///
/// # Errors
///
/// [`Fault::NotEmpty`] if the folder has content, and faults of the file system
/// and of the journal.
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

/// Checks that the data folder has been initialised.
///
/// # Errors
///
/// [`Fault::Empty`] if it is missing or empty, and faults of the file system.
pub(crate) fn check(settings: &Settings) -> Result<(), Fault> {
    match &settings.data {
        Some(folder) if is_empty(folder)? => {
            let folder = folder.clone();
            Err(Fault::Empty { folder })
        }
        _ => Ok(()),
    }
}

/// Opens the journal, if the node has one, and reads its durable state.
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
