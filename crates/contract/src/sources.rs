//! The files of a description and the references among them. A reference leads to a file beside the description,
//! never to the network and never out of the description's folder.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use crate::document::{append_to_pointer, Document, MAX_BYTES};
use crate::fault::{Fault, Faults};
use serde_json::Value;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::io;
use std::path::{Component, Path, PathBuf};

/// The most files of one description.
pub const MAX_FILES: usize = 64;
/// The most references that lead from one to the next.
const MAX_REFERENCE_CHAIN: usize = 32;

/// Why a file can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system refused.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A folder, socket or device.
    #[error("this is no plain file")]
    NotRegular,
    /// Longer than [`MAX_BYTES`].
    #[error("the file has {bytes} bytes: {MAX_BYTES} at most")]
    TooLarge {
        /// The file's length.
        bytes: u64,
    },
}

/// Why a reference can't be followed.
#[derive(Debug, thiserror::Error)]
enum ReferenceError {
    #[error("the fragment's percent-encoding is broken")]
    BrokenFragment,
    #[error("only JSON pointers (#/...) are followed, no anchors")]
    Anchor,
    #[error("there is nothing at {place}")]
    NothingThere { place: String },
    #[error("network addresses are not followed: put the file beside the description")]
    NetworkAddress,
    #[error("the path's percent-encoding is broken")]
    BrokenPath,
    #[error("absolute paths are not followed: put the file beside the description")]
    AbsolutePath,
    #[error("this leads out of the description's folder")]
    OutsideFolder,
    #[error("a description has {MAX_FILES} files at most")]
    TooManyFiles,
    #[error("there is no file {name}")]
    NoSuchFile { name: String },
    #[error("the file {name}: {source}")]
    Unreadable { name: String, source: FileError },
    /// The file has faults of its own, which are reported with it.
    #[error("the file {name} can't be used")]
    Unusable { name: String },
}

/// A node of one of the files.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeLocation {
    /// The file's number.
    pub file: usize,
    /// The node's JSON pointer.
    pub pointer: String,
}

impl NodeLocation {
    /// The member of that name.
    pub fn at(&self, key: &str) -> NodeLocation {
        NodeLocation {
            file: self.file,
            pointer: append_to_pointer(&self.pointer, key),
        }
    }

    /// The item of that number.
    pub fn item(&self, number: usize) -> NodeLocation {
        NodeLocation {
            file: self.file,
            pointer: format!("{}/{number}", self.pointer),
        }
    }
}

/// The files of a description, read as references lead to them.
#[derive(Clone, Debug)]
pub struct Sources {
    folder: PathBuf,
    files: Vec<Document>,
    /// Files that could not be read, whose faults are reported once.
    unreadable: BTreeSet<String>,
    /// The faults found so far.
    pub faults: Faults,
}

impl Sources {
    /// Reads the description's first file; others are read as references lead to them.
    pub fn open(path: &Path) -> Result<Sources, Fault> {
        let name = path
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default();
        let folder = path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        let fault = |error: FileError| Fault {
            file: path.display().to_string(),
            line: 0,
            column: 0,
            pointer: String::new(),
            cause: error.to_string(),
        };
        let bytes = read(path).map_err(fault)?;
        let folder = folder.canonicalize().map_err(|error| fault(error.into()))?;
        Ok(Sources::new(folder, Document::read(&name, &bytes)?))
    }

    /// Reads a description from text. References to other files are faults.
    pub fn from_text(name: &str, text: &str) -> Result<Sources, Fault> {
        Ok(Sources::new(
            PathBuf::new(),
            Document::read(name, text.as_bytes())?,
        ))
    }

    fn new(folder: PathBuf, first: Document) -> Sources {
        Sources {
            folder,
            files: vec![first],
            unreadable: BTreeSet::new(),
            faults: Faults::default(),
        }
    }

    /// The root of the description's first file.
    pub fn root(&self) -> NodeLocation {
        NodeLocation {
            file: 0,
            pointer: String::new(),
        }
    }

    /// The files read so far, the description's first one first.
    pub fn files(&self) -> &[Document] {
        &self.files
    }

    /// The node at a place.
    pub fn get(&self, node: &NodeLocation) -> Option<&Value> {
        self.files.get(node.file)?.value.pointer(&node.pointer)
    }

    /// A hash of the files' names and contents.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        for file in &self.files {
            (&file.name, file.value.to_string()).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Drops the contents of the files; their names stay.
    pub(crate) fn drop_documents(&mut self) {
        self.files.iter_mut().for_each(Document::drop_content);
    }

    /// A location as reports show it: the file, unless it is the first, and the pointer.
    pub fn display_location(&self, node: &NodeLocation) -> String {
        match (node.file, self.files.get(node.file)) {
            (0, _) | (_, None) => format!("#{}", node.pointer),
            (_, Some(file)) => format!("{}#{}", file.name, node.pointer),
        }
    }

    /// Adds a fault at a node.
    pub fn fault(&mut self, node: &NodeLocation, cause: impl Into<String>) {
        if let Some(file) = self.files.get(node.file) {
            let fault = file.fault(&node.pointer, cause);
            self.faults.push(fault);
        }
    }

    /// The node itself or, if it is a reference, the node at the end of the chain. Broken, circular and overlong chains
    /// are added as faults.
    pub fn resolve(&mut self, node: &NodeLocation) -> Option<NodeLocation> {
        let mut at = node.clone();
        let mut visited = vec![at.clone()];
        loop {
            let Some(reference) = self.reference(&at) else {
                return Some(at);
            };
            let next = self.follow(&at, &reference)?;
            if visited.contains(&next) {
                let chain: Vec<_> = visited
                    .iter()
                    .chain([&next])
                    .map(|node| self.display_location(node))
                    .collect();
                self.fault(
                    node,
                    format!(
                        "this reference only leads to itself: {}",
                        chain.join(" -> ")
                    ),
                );
                return None;
            }
            if visited.len() > MAX_REFERENCE_CHAIN {
                self.fault(
                    node,
                    format!("more than {MAX_REFERENCE_CHAIN} references lead from one to the next"),
                );
                return None;
            }
            visited.push(next.clone());
            at = next;
        }
    }

    /// The `$ref` of a node, if it has one.
    pub fn reference(&self, node: &NodeLocation) -> Option<String> {
        Some(self.get(node)?.get("$ref")?.as_str()?.to_string())
    }

    /// The node that a reference at `from` names. Without such a node a fault is added.
    pub fn follow(&mut self, from: &NodeLocation, reference: &str) -> Option<NodeLocation> {
        match self.find(from.file, reference) {
            Ok(node) => Some(node),
            Err(cause) => {
                self.fault(&from.at("$ref"), format!("$ref '{reference}': {cause}"));
                None
            }
        }
    }

    fn find(&mut self, from: usize, reference: &str) -> Result<NodeLocation, ReferenceError> {
        let (path, fragment) = reference.split_once('#').unwrap_or((reference, ""));
        let file = if path.is_empty() {
            from
        } else {
            self.load(from, path)?
        };
        let pointer = decode(fragment).ok_or(ReferenceError::BrokenFragment)?;
        if !pointer.is_empty() && !pointer.starts_with('/') {
            return Err(ReferenceError::Anchor);
        }
        let location = NodeLocation { file, pointer };
        if self.get(&location).is_none() {
            let place = self.display_location(&location);
            return Err(ReferenceError::NothingThere { place });
        }
        Ok(location)
    }

    /// The node at the end of a chain of references among the files that are read, without adding faults.
    pub fn target(&self, node: &NodeLocation) -> Option<NodeLocation> {
        let mut at = node.clone();
        for _ in 0..MAX_REFERENCE_CHAIN {
            let Some(reference) = self.reference(&at) else {
                return Some(at);
            };
            let (path, fragment) = reference.split_once('#').unwrap_or((&reference, ""));
            let file = match path.is_empty() {
                true => at.file,
                false => {
                    let name = self.resolve_path(at.file, path).ok()?;
                    self.files.iter().position(|file| file.name == name)?
                }
            };
            at = NodeLocation {
                file,
                pointer: decode(fragment)?,
            };
        }
        None
    }

    /// The name of the file that a path in the file `from` refers to.
    fn resolve_path(&self, from: usize, path: &str) -> Result<String, ReferenceError> {
        if path.contains(':') || path.starts_with("//") {
            return Err(ReferenceError::NetworkAddress);
        }
        let path = decode(path).ok_or(ReferenceError::BrokenPath)?;
        if path.starts_with('/') {
            return Err(ReferenceError::AbsolutePath);
        }
        let folder = Path::new(&self.files[from].name)
            .parent()
            .unwrap_or(Path::new(""));
        // Resolved by name first, so that a path that leads out of the folder and back is rejected too.
        let mut parts: Vec<String> = Vec::new();
        for component in folder.join(&path).components() {
            match component {
                Component::CurDir => {}
                Component::ParentDir if parts.pop().is_some() => {}
                Component::Normal(name) => parts.push(name.to_string_lossy().into_owned()),
                _ => return Err(ReferenceError::OutsideFolder),
            }
        }
        Ok(parts.join("/"))
    }

    /// The index of the file that a path in the file `from` refers to. It is read unless it was before.
    fn load(&mut self, from: usize, path: &str) -> Result<usize, ReferenceError> {
        let name = self.resolve_path(from, path)?;
        if let Some(known) = self.files.iter().position(|file| file.name == name) {
            return Ok(known);
        }
        if self.unreadable.contains(&name) {
            return Err(ReferenceError::Unusable { name });
        }
        if self.files.len() + self.unreadable.len() >= MAX_FILES {
            return Err(ReferenceError::TooManyFiles);
        }
        let document = self.read_document(&name);
        if document.is_err() {
            self.unreadable.insert(name);
        }
        self.files.push(document?);
        Ok(self.files.len() - 1)
    }

    fn read_document(&mut self, name: &str) -> Result<Document, ReferenceError> {
        if self.folder.as_os_str().is_empty() {
            return Err(ReferenceError::NoSuchFile { name: name.into() });
        }
        let unreadable = |source: FileError| ReferenceError::Unreadable {
            name: name.into(),
            source,
        };
        let path = self.folder.join(name);
        // A link may lead out of the folder although its name doesn't.
        let real_path = path
            .canonicalize()
            .map_err(|error| unreadable(error.into()))?;
        if !real_path.starts_with(&self.folder) {
            return Err(ReferenceError::OutsideFolder);
        }
        let bytes = read(&real_path).map_err(unreadable)?;
        Document::read(name, &bytes).map_err(|fault| {
            self.faults.push(fault);
            ReferenceError::Unusable { name: name.into() }
        })
    }
}

/// Reads a file, unless it is too large or not a regular file.
fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_file() {
        return Err(FileError::NotRegular);
    }
    let bytes = metadata.len();
    if bytes > MAX_BYTES as u64 {
        return Err(FileError::TooLarge { bytes });
    }
    Ok(std::fs::read(path)?)
}

/// Decodes percent-encoding; `None` if it is malformed.
pub fn decode(text: &str) -> Option<String> {
    if !text.contains('%') {
        return Some(text.into());
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |b: Option<u8>| (b? as char).to_digit(16);
                (digit(rest.next())? * 16 + digit(rest.next())?) as u8
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}
