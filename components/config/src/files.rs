//! Reads declarations from a directory of TOML files, as operators write them.
//!
//! Each file may hold `[groups.NAME]`, `[services.NAME]` and
//! `[selectors.NAME]`. The keys are those of [`crate::model`]; times are whole
//! milliseconds under keys that end in `_ms`. Databases and teams can't be declared in
//! files: `[databases.NAME]` and `[teams.NAME]` are parsed but left out. The files are read in the order of
//! their names and merged; each group, service or selector may be declared in one
//! file only. A problem in any file makes the whole directory invalid. Each problem
//! is reported with its file, line and key as far as they are known; the rules of
//! [`crate::check`] are checked only if all files can be parsed and merged.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

use base::name::Name;
use toml::de::{DeTable, DeValue};

use crate::check::Violation;
use crate::model::Declarations;

/// A problem with a directory, a file, or a key in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The directory or file can't be read.
    Unreadable(std::io::ErrorKind),
    /// The directory holds no file whose name ends in `.toml`.
    Empty,
    /// The text isn't valid TOML, a key is unknown or missing, or a value can't be
    /// parsed.
    Malformed {
        /// Error message of the TOML parser.
        text: String,
    },
    /// The name is declared in another file too.
    Duplicate {
        /// Path of the other file.
        other: PathBuf,
    },
    /// The value violates a rule of the declarations.
    Violation(Violation),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(kind) => write!(f, "can't be read: {kind}"),
            Self::Empty => f.write_str("holds no file whose name ends in `.toml`"),
            Self::Malformed { text } => f.write_str(text),
            Self::Duplicate { other } => write!(f, "is declared in {} too", other.display()),
            Self::Violation(Violation::Value { allowed, .. }) => write!(f, "{allowed}"),
            Self::Violation(violation) => write!(f, "{violation}"),
        }
    }
}

/// A problem and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Path of the file or directory.
    pub file: PathBuf,
    /// Line in the file, counted from 1; zero if the problem concerns the whole
    /// file or directory.
    pub line: usize,
    /// Names of the tables and the key, joined by dots; empty if the problem
    /// concerns no key.
    pub key: String,
    /// Reason why the directory, file or key is rejected.
    pub problem: Problem,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// All problems of a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Diagnostic>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            write!(f, "{}{diagnostic}", if index > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// A file that was parsed.
struct File {
    path: PathBuf,
    text: String,
    declarations: Declarations,
}

/// Reads, merges and validates all files of a directory.
///
/// # Errors
/// The problems of reading, parsing and merging the files; if there are none, all
/// rules that the merged declarations violate.
pub fn read(directory: &Path) -> Result<Declarations, Problems> {
    let mut problems = Vec::new();
    let files = read_files(directory, &mut problems);
    let mut merged = Declarations::default();
    for (index, file) in files.iter().enumerate() {
        merge(&mut merged, file, &files[..index], &mut problems);
    }
    if problems.is_empty() {
        problems.extend(
            merged.violations().into_iter().map(|violation| locate(&files, directory, violation)),
        );
    }
    if problems.is_empty() { Ok(merged) } else { Err(Problems(problems)) }
}

/// Reads and parses all files of a directory, and adds a problem for each file that
/// fails.
fn read_files(directory: &Path, problems: &mut Vec<Diagnostic>) -> Vec<File> {
    let diagnostic = |file: &Path, problem| Diagnostic {
        file: file.to_owned(),
        line: 0,
        key: String::new(),
        problem,
    };
    let paths = match paths(directory) {
        Ok(paths) => paths,
        Err(error) => {
            problems.push(diagnostic(directory, Problem::Unreadable(error.kind())));
            return Vec::new();
        }
    };
    if paths.is_empty() {
        problems.push(diagnostic(directory, Problem::Empty));
    }
    let mut files = Vec::new();
    for path in paths {
        match std::fs::read_to_string(&path) {
            Ok(text) => match parse(&path, &text) {
                Ok(declarations) => files.push(File { path, text, declarations }),
                Err(malformed) => problems.push(malformed),
            },
            Err(error) => problems.push(diagnostic(&path, Problem::Unreadable(error.kind()))),
        }
    }
    files
}

/// Paths of the TOML files in a directory, sorted.
fn paths(directory: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn parse(path: &Path, text: &str) -> Result<Declarations, Diagnostic> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let key = DeTable::parse(text)
            .map(|table| key_at(table.get_ref(), offset).join("."))
            .unwrap_or_default();
        let problem = Problem::Malformed { text: error.message().to_owned() };
        Diagnostic { file: path.to_owned(), line: line_number(text, offset), key, problem }
    })
}

/// Number of the line that holds a byte offset, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&byte| byte == b'\n').count() + 1
}

/// Names of the tables and the key at a byte offset, outermost first.
fn key_at(table: &DeTable<'_>, offset: usize) -> Vec<String> {
    let holds = |span: Range<usize>| span.contains(&offset);
    for (key, value) in table {
        let inner = match value.get_ref() {
            DeValue::Table(inner) => key_at(inner, offset),
            _ => Vec::new(),
        };
        if !inner.is_empty() || holds(key.span()) || holds(value.span()) {
            let own = key.get_ref().to_string();
            return std::iter::once(own).chain(inner).collect();
        }
    }
    Vec::new()
}

/// Adds the declarations of a file to `merged`, and a problem for each name that one
/// of the `earlier` files declares too.
fn merge(merged: &mut Declarations, file: &File, earlier: &[File], problems: &mut Vec<Diagnostic>) {
    let own = &file.declarations;
    let mut check = |table: &str, name: &Name, is_duplicate: bool| {
        if is_duplicate {
            let path = [table.to_owned(), name.to_string()];
            let other = earlier.iter().find(|other| find_key(&other.text, &path).1 == path.len());
            let other = other.map_or_else(PathBuf::new, |other| other.path.clone());
            problems.push(diagnose(file, &path, Problem::Duplicate { other }));
        }
    };
    for (name, group) in &own.groups {
        check("groups", name, merged.groups.insert(name.clone(), group.clone()).is_some());
    }
    for (name, service) in &own.services {
        check("services", name, merged.services.insert(name.clone(), service.clone()).is_some());
    }
    for (name, selector) in &own.selectors {
        check("selectors", name, merged.selectors.insert(name.clone(), selector.clone()).is_some());
    }
}

/// Byte offset of the deepest part of a path that a text holds, and the depth of that
/// part. The depth is the number of parts found; zero if the text holds none.
fn find_key(text: &str, path: &[String]) -> (usize, usize) {
    let Ok(root) = DeTable::parse(text) else {
        return (0, 0);
    };
    let mut table = root.get_ref();
    let mut found = (0, 0);
    for (depth, part) in path.iter().enumerate() {
        let Some((key, value)) = table.iter().find(|(key, _)| key.get_ref() == part.as_str())
        else {
            return found;
        };
        found = (key.span().start, depth + 1);
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            DeValue::Array(items) => return find_in_array(items, &path[depth + 1..], found),
            _ => return found,
        }
    }
    found
}

/// Offset and depth, as in [`find_key`], of a path that continues in an array of
/// tables: `path` starts with an index, and `array` is the offset and depth of the
/// array itself.
fn find_in_array(
    items: &toml::de::DeArray<'_>,
    path: &[String],
    array: (usize, usize),
) -> (usize, usize) {
    let index = path.first().and_then(|index| index.parse::<usize>().ok());
    let Some(item) = index.and_then(|index| items.get(index)) else {
        return array;
    };
    let (start, depth) = (item.span().start, array.1 + 1);
    let key = path.get(1).zip(item.get_ref().as_table());
    let key =
        key.and_then(|(part, table)| table.iter().find(|(key, _)| key.get_ref() == part.as_str()));
    key.map_or((start, depth), |(key, _)| (key.span().start, depth + 1))
}

/// Makes the diagnostic of a problem with a key of a file.
fn diagnose(file: &File, path: &[String], problem: Problem) -> Diagnostic {
    let (offset, _) = find_key(&file.text, path);
    Diagnostic {
        file: file.path.clone(),
        line: line_number(&file.text, offset),
        key: path.join("."),
        problem,
    }
}

/// Makes the diagnostic of a violation, at the file that holds the longest prefix of
/// the violation's path. A violation without a path concerns the directory.
fn locate(files: &[File], directory: &Path, violation: Violation) -> Diagnostic {
    let Violation::Value { path, .. } = &violation else {
        let problem = Problem::Violation(violation);
        return Diagnostic { file: directory.to_owned(), line: 0, key: String::new(), problem };
    };
    let path = path.clone();
    let deepest = files.iter().max_by_key(|file| find_key(&file.text, &path).1);
    let problem = Problem::Violation(violation);
    match deepest {
        Some(file) => diagnose(file, &path, problem),
        None => Diagnostic { file: directory.to_owned(), line: 0, key: path.join("."), problem },
    }
}
