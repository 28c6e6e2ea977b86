//! A node's settings: JSON with comments.

use gentianlane::agree::Voters;
use gentianlane::id;
use json_comments::StripComments;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a node is told at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// The cell it belongs to.
    pub(crate) cell: id::Cell,
    /// Which of the nodes it is.
    pub(crate) node: id::Node,
    /// The data folder; a node without one keeps nothing and can't vote.
    #[serde(default)]
    pub(crate) data: Option<PathBuf>,
    /// All nodes of the cell, this one among them.
    pub(crate) nodes: Vec<Peer>,
}

/// One node of the cell.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peer {
    /// Its number.
    pub(crate) node: id::Node,
    /// Whether it votes.
    pub(crate) voter: bool,
    /// Its failure domain.
    #[allow(dead_code, reason = "voters are spread over domains later")]
    #[serde(default)]
    pub(crate) domain: id::Domain,
    /// Where callers, workers and operators reach it.
    pub(crate) http: SocketAddr,
    /// Where other nodes send frames.
    pub(crate) peer: SocketAddr,
    /// Where other nodes pass calls on.
    pub(crate) rpc: SocketAddr,
}

/// What is wrong with a settings file.
#[derive(Debug, derive_more::Display, derive_more::Error, Diagnostic)]
pub(crate) enum Fault {
    /// No file was named.
    #[display("no settings file was named")]
    NoFile,
    /// The text can't be read.
    #[display("{message}")]
    Text {
        /// What is wrong.
        message: String,
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Where.
        #[label("here")]
        at: SourceSpan,
    },
    /// The settings contradict one another.
    #[display("{_0}")]
    Unsound(#[error(not(source))] String),
}

impl Settings {
    /// Reads settings, and refuses unknown fields and contradictions.
    pub(crate) fn read(name: &str, text: &str) -> Result<Self, Fault> {
        let plain = StripComments::new(text.as_bytes());
        let settings: Self = serde_json::from_reader(plain).map_err(|error| {
            let offset = offset(text, error.line(), error.column());
            Fault::Text {
                message: error.to_string(),
                source_code: NamedSource::new(name, text.to_owned()),
                at: SourceSpan::from(offset),
            }
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Fault> {
        let mut addresses = HashSet::new();
        let mut nodes = HashSet::new();
        for peer in &self.nodes {
            if !nodes.insert(peer.node) {
                return Err(Fault::Unsound(format!("{} is named twice", peer.node)));
            }
            for address in [peer.http, peer.peer, peer.rpc] {
                if !addresses.insert(address) {
                    return Err(Fault::Unsound(format!("{address} is given twice")));
                }
            }
        }
        let me = self.me()?;
        if me.voter && self.data.is_none() {
            let text = format!("{} votes and so needs a data folder", self.node);
            return Err(Fault::Unsound(text));
        }
        Ok(())
    }

    /// This node among the nodes.
    pub(crate) fn me(&self) -> Result<&Peer, Fault> {
        let me = self.nodes.iter().find(|peer| peer.node == self.node);
        me.ok_or_else(|| Fault::Unsound(format!("{} isn't among the nodes", self.node)))
    }

    /// The other nodes.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Peer> {
        self.nodes.iter().filter(|peer| peer.node != self.node)
    }

    /// The nodes that vote.
    pub(crate) fn voters(&self) -> Voters {
        let voters = self.nodes.iter().filter(|peer| peer.voter);
        voters.map(|peer| peer.node).collect()
    }
}

/// The byte at a line and column, both counted from one.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    (start + column.saturating_sub(1)).min(text.len())
}
