//! Checks that the pages of the documentation refer only to files and types that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Directories whose files a page may reference in backticks. The path starts at the root.
const FOLDERS: [&str; 6] = ["src/", "crates/", "tests/", "docs/", "examples/", "deploy/"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn is_page(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "md")
}

/// Returns all pages: `README.md`, `CONTRIBUTING.md`, and the Markdown files below `docs/` and
/// `examples/`.
fn pages() -> Vec<PathBuf> {
    let mut folders = vec![root().join("docs"), root().join("examples")];
    let mut pages: Vec<PathBuf> =
        ["README.md", "CONTRIBUTING.md"].iter().map(|page| root().join(page)).collect();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a directory of pages") {
            let path = entry.expect("a readable entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if is_page(&path) {
                pages.push(path);
            }
        }
    }
    pages
}

/// Returns the paths that the text of a page references in backticks. A path with a placeholder or a
/// wildcard does not name a single file and is skipped.
fn named_paths(text: &str) -> BTreeSet<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    let is_path = |quoted: &&str| {
        FOLDERS.iter().any(|folder| quoted.starts_with(folder))
            && !quoted.contains(['*', '<', '{', ' ', '\n'])
    };
    quoted.filter(is_path).map(|path| path.split(['#', ':']).next().unwrap_or(path)).collect()
}

#[test]
fn pages_reference_existing_files() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("every page is readable");
        let missing_paths = named_paths(&text).into_iter().filter(|path| !root().join(path).exists());
        missing.extend(missing_paths.map(|path| format!("{}: {path}", page.display())));
    }
    assert!(missing.is_empty(), "pages reference missing files:\n{}", missing.join("\n"));
}

#[test]
fn links_to_local_files_are_not_broken() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("every page is readable");
        let folder = page.parent().expect("the directory of the page");
        let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
        let local = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
        let files = local.map(|target| target.split('#').next().unwrap_or(target));
        let missing_paths = files.filter(|file| !folder.join(file).exists());
        broken.extend(missing_paths.map(|file| format!("{}: {file}", page.display())));
    }
    assert!(broken.is_empty(), "links to missing files:\n{}", broken.join("\n"));
}

/// Returns the text of all source files.
fn sources() -> String {
    let mut folders = vec![root().join("src"), root().join("crates")];
    let mut text = String::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a directory of sources") {
            let path = entry.expect("a readable entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                text += &fs::read_to_string(&path).expect("a source file");
            }
        }
    }
    text
}

/// Returns whether a word looks like a type name: it starts with a capital letter, consists of letters
/// and digits, and has at least two capital letters and one small one.
fn is_type_name(word: &str) -> bool {
    let capitals = word.chars().filter(char::is_ascii_uppercase).count();
    word.starts_with(|first: char| first.is_ascii_uppercase())
        && capitals >= 2
        && word.chars().any(|c| c.is_ascii_lowercase())
        && word.chars().all(|c| c.is_ascii_alphanumeric())
}

/// A type counts as existing if its name occurs anywhere in the source files.
#[test]
fn pages_reference_existing_types() {
    let sources = sources();
    let known: BTreeSet<&str> =
        sources.split(|c: char| !c.is_ascii_alphanumeric() && c != '_').filter(|w| is_type_name(w)).collect();
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("every page is readable");
        let quoted = text.split('`').skip(1).step_by(2).filter(|quoted| !quoted.contains('\n'));
        let words = quoted.flat_map(|quoted| quoted.split(|c: char| !c.is_ascii_alphanumeric() && c != '_'));
        let unknown: BTreeSet<&str> = words.filter(|w| is_type_name(w) && !known.contains(w)).collect();
        missing.extend(unknown.into_iter().map(|name| format!("{}: {name}", page.display())));
    }
    assert!(missing.is_empty(), "pages reference missing types:\n{}", missing.join("\n"));
}
