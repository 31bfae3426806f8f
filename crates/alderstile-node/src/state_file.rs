//! Names of the files in which a node stores state for its next process.

use std::path::{Path, PathBuf};

/// Returns the path of a node's state file of one kind; all bytes of the node's name other than ASCII letters
/// and digits are percent-encoded.
pub fn path(dir: &Path, node_name: &str, kind: &str) -> PathBuf {
    let name = percent_encoding::utf8_percent_encode(node_name, percent_encoding::NON_ALPHANUMERIC);
    dir.join(format!("alderstile-{name}.{kind}"))
}
