//! Names of the files that a node leaves for its next process.

use std::path::{Path, PathBuf};

/// The file of one kind of the node with this name; bytes of the name that no file name may hold are escaped.
pub fn path(dir: &Path, node_name: &str, kind: &str) -> PathBuf {
    let name = percent_encoding::utf8_percent_encode(node_name, percent_encoding::NON_ALPHANUMERIC);
    dir.join(format!("alderstile-{name}.{kind}"))
}
