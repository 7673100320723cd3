//! The files of a description and the references among them. A reference may name a file in the description's folder;
//! network addresses and paths that lead out of the folder are rejected.

use crate::document::{append_to_pointer, Document, MAX_BYTES};
use crate::fault::{Fault, Faults};
use serde_json::Value;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::io;
use std::path::{Component, Path, PathBuf};

/// The largest number of files in one description.
pub const MAX_FILES: usize = 64;
/// The largest number of references in a chain, in which each reference points to the next one.
const MAX_REFERENCE_CHAIN: usize = 32;

/// The error of a file that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system returned an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The path names a folder, socket or device.
    #[error("not a regular file")]
    NotRegular,
    /// The file is longer than [`MAX_BYTES`].
    #[error("file too large: {bytes} bytes, expected at most {MAX_BYTES}")]
    TooLarge {
        /// The file's length, in bytes.
        bytes: u64,
    },
}

/// The error of a reference that cannot be followed.
#[derive(Debug, thiserror::Error)]
enum ReferenceError {
    #[error("invalid percent-encoding in the fragment")]
    BrokenFragment,
    #[error("unsupported anchor: expected a JSON pointer (#/...)")]
    Anchor,
    #[error("no node at {place}")]
    NothingThere { place: String },
    #[error("network addresses are not supported: put the file beside the description")]
    NetworkAddress,
    #[error("invalid percent-encoding in the path")]
    BrokenPath,
    #[error("absolute paths are not supported: put the file beside the description")]
    AbsolutePath,
    #[error("the path leads out of the description's folder")]
    OutsideFolder,
    #[error("too many files: expected at most {MAX_FILES} for a description")]
    TooManyFiles,
    #[error("file {name} does not exist")]
    NoSuchFile { name: String },
    #[error("cannot read file {name}: {source}")]
    Unreadable { name: String, source: FileError },
    /// The file has faults of its own, which are reported for that file.
    #[error("file {name} has errors of its own")]
    Unusable { name: String },
}

/// The location of a node: a file of the description and a JSON pointer into it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeLocation {
    /// The index of the file in [`Sources::files`].
    pub file: usize,
    /// The JSON pointer of the node; empty for the whole document.
    pub pointer: String,
}

impl NodeLocation {
    /// Returns the location of the member with this key.
    pub fn at(&self, key: &str) -> NodeLocation {
        NodeLocation {
            file: self.file,
            pointer: append_to_pointer(&self.pointer, key),
        }
    }

    /// Returns the location of the list item with this index.
    pub fn item(&self, index: usize) -> NodeLocation {
        NodeLocation {
            file: self.file,
            pointer: format!("{}/{index}", self.pointer),
        }
    }
}

/// The files of a description. A file is read when the first reference to it is followed.
#[derive(Clone, Debug)]
pub struct Sources {
    folder: PathBuf,
    files: Vec<Document>,
    /// The names of files that could not be read, so that their faults are reported once.
    unreadable: BTreeSet<String>,
    /// The faults found so far.
    pub faults: Faults,
}

impl Sources {
    /// Reads the description's first file. The others are read when references to them are followed.
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

    /// Reads a description from text. References to other files are reported as faults.
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

    /// Returns the location of the root of the description's first file.
    pub fn root(&self) -> NodeLocation {
        NodeLocation {
            file: 0,
            pointer: String::new(),
        }
    }

    /// Returns the files read so far, beginning with the description's first file.
    pub fn files(&self) -> &[Document] {
        &self.files
    }

    /// Returns the value of a node; `None` if the node does not exist.
    pub fn get(&self, node: &NodeLocation) -> Option<&Value> {
        self.files.get(node.file)?.value.pointer(&node.pointer)
    }

    /// Returns a hash of the files' names and contents.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        for file in &self.files {
            (&file.name, file.value.to_string()).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Drops the contents of the files and keeps their names.
    pub(crate) fn drop_documents(&mut self) {
        self.files.iter_mut().for_each(Document::drop_content);
    }

    /// Formats a location for reports: the pointer, preceded by the file's name unless it is the first file.
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

    /// Returns the node itself or, if the node is a reference, the node at the end of the chain of references. Broken,
    /// circular and overlong chains are added as faults.
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
                self.fault(node, format!("circular reference: {}", chain.join(" -> ")));
                return None;
            }
            if visited.len() > MAX_REFERENCE_CHAIN {
                self.fault(
                    node,
                    format!("reference chain too long: expected at most {MAX_REFERENCE_CHAIN} references"),
                );
                return None;
            }
            visited.push(next.clone());
            at = next;
        }
    }

    /// Returns the `$ref` of a node; `None` if the node is not a reference.
    pub fn reference(&self, node: &NodeLocation) -> Option<String> {
        Some(self.get(node)?.get("$ref")?.as_str()?.to_string())
    }

    /// Returns the node that the reference at `from` points to. Adds a fault if there is no such node.
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

    /// Returns the node at the end of a chain of references. Uses only files that were already read and adds no faults.
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

    /// Returns the name of the file that a path in the file `from` refers to.
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
        // Resolving the path by name first also rejects a path that leads out of the folder and back.
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

    /// Returns the index of the file that a path in the file `from` refers to, and reads the file on first use.
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
        // A symbolic link may lead out of the folder although its name does not.
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

/// Reads a regular file of at most [`MAX_BYTES`] bytes.
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

/// Decodes percent-encoded UTF-8 text; returns `None` if the text is malformed.
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
