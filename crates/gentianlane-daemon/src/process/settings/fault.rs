//! Faults of settings.

use gentianlane::id;
use miette::{Diagnostic, LabeledSpan, NamedSource};
use std::path::PathBuf;

/// Why settings were refused.
#[derive(Debug, derive_more::Display, derive_more::Error, Diagnostic)]
pub(crate) enum Fault {
    /// The command line names no settings file.
    #[display("no settings file was named")]
    NoFile,
    /// The file can't be read.
    #[display("{}: {error}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error from the file system.
        #[error(source)]
        error: std::io::Error,
    },
    /// The node isn't listed among the nodes.
    #[display("{_0} isn't among the nodes")]
    NotAmongNodes(#[error(not(source))] id::Node),
    /// The text isn't valid.
    #[display("{name}: {}", summary(labels))]
    #[diagnostic(help("docs/OPERATING.md lists every setting with its range"))]
    Text {
        /// The file's name.
        name: String,
        /// The file's text.
        #[source_code]
        source_code: NamedSource<String>,
        /// Each fault with its location.
        #[label(collection)]
        labels: Vec<LabeledSpan>,
    },
}

/// The message of a single fault, or the number of faults.
fn summary(labels: &[LabeledSpan]) -> String {
    match labels {
        [label] => label.label().unwrap_or_default().to_owned(),
        _ => format!("{} faults", labels.len()),
    }
}
