//! What is wrong with settings.

use gentianlane::id;
use miette::{Diagnostic, LabeledSpan, NamedSource};
use std::path::PathBuf;

/// What is wrong with settings.
#[derive(Debug, derive_more::Display, derive_more::Error, Diagnostic)]
pub(crate) enum Fault {
    /// No file was named.
    #[display("no settings file was named")]
    NoFile,
    /// The file can't be read.
    #[display("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        #[error(source)]
        error: std::io::Error,
    },
    /// The node has no entry of its own.
    #[display("{_0} isn't among the nodes")]
    NotAmongNodes(#[error(not(source))] id::Node),
    /// The text has faults.
    #[display("{name}: {}", summary(labels))]
    #[diagnostic(help("docs/OPERATING.md lists every setting with its range"))]
    Text {
        /// The file's name.
        name: String,
        /// The file's text.
        #[source_code]
        source_code: NamedSource<String>,
        /// Each fault at its place.
        #[label(collection)]
        labels: Vec<LabeledSpan>,
    },
}

/// A single fault's own words, or how many there are.
fn summary(labels: &[LabeledSpan]) -> String {
    match labels {
        [label] => label.label().unwrap_or_default().to_owned(),
        _ => format!("{} faults", labels.len()),
    }
}
