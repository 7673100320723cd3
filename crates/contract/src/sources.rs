//! The files of a description and the references among them. A reference leads to a file beside the description,
//! never to the network and never out of the description's folder.

use crate::document::{step, Document, MAX_BYTES};
use crate::fault::{Fault, Faults};
use serde_json::Value;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::path::{Path, PathBuf};

/// The most files of one description.
pub const MAX_FILES: usize = 64;
/// The most references that lead from one to the next.
const MAX_REFERENCE_CHAIN: usize = 32;

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
            pointer: step(&self.pointer, key),
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
    unreadable: BTreeSet<String>,
    /// What is wrong so far.
    pub faults: Faults,
}

impl Sources {
    /// Reads the description's first file.
    pub fn open(path: &Path) -> Result<Sources, Fault> {
        let name = path
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default();
        let folder = path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        let fault = |cause: String| Fault {
            file: path.display().to_string(),
            line: 0,
            column: 0,
            pointer: String::new(),
            cause,
        };
        let bytes = read(path).map_err(fault)?;
        let folder = folder.canonicalize().map_err(|e| fault(e.to_string()))?;
        Ok(Sources::new(folder, Document::read(&name, &bytes)?))
    }

    /// A description that is at hand as text. References to other files find none.
    pub fn text(name: &str, text: &str) -> Result<Sources, Fault> {
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

    /// The description's first node.
    pub fn root(&self) -> NodeLocation {
        NodeLocation {
            file: 0,
            pointer: String::new(),
        }
    }

    /// All files.
    pub fn files(&self) -> &[Document] {
        &self.files
    }

    /// The node at a place.
    pub fn get(&self, loc: &NodeLocation) -> Option<&Value> {
        self.files.get(loc.file)?.value.pointer(&loc.pointer)
    }

    /// Tells whether two descriptions say the same in the same files.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        for file in &self.files {
            (&file.name, file.value.to_string()).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Lets go of what the files hold; their names stay.
    pub(crate) fn slim(&mut self) {
        self.files.iter_mut().for_each(Document::slim);
    }

    /// A place in words: the file where it isn't the first, and the pointer.
    pub fn name(&self, loc: &NodeLocation) -> String {
        match (loc.file, self.files.get(loc.file)) {
            (0, _) | (_, None) => format!("#{}", loc.pointer),
            (_, Some(file)) => format!("{}#{}", file.name, loc.pointer),
        }
    }

    /// Notes that something is wrong at a node.
    pub fn fault(&mut self, loc: &NodeLocation, cause: impl Into<String>) {
        if let Some(file) = self.files.get(loc.file) {
            let fault = file.fault(&loc.pointer, cause);
            self.faults.push(fault);
        }
    }

    /// The node itself or, where it is a reference, what that leads to in the end. Faults of the way are noted.
    pub fn resolve(&mut self, loc: &NodeLocation) -> Option<NodeLocation> {
        let mut at = loc.clone();
        let mut passed = vec![at.clone()];
        loop {
            let Some(reference) = self.reference(&at) else {
                return Some(at);
            };
            let next = self.follow(&at, &reference)?;
            if passed.contains(&next) {
                let way: Vec<_> = passed
                    .iter()
                    .chain([&next])
                    .map(|loc| self.name(loc))
                    .collect();
                self.fault(
                    loc,
                    format!("this reference only leads to itself: {}", way.join(" -> ")),
                );
                return None;
            }
            if passed.len() > MAX_REFERENCE_CHAIN {
                self.fault(
                    loc,
                    format!("more than {MAX_REFERENCE_CHAIN} references lead from one to the next"),
                );
                return None;
            }
            passed.push(next.clone());
            at = next;
        }
    }

    /// What a node refers to, if it is a reference.
    pub fn reference(&self, loc: &NodeLocation) -> Option<String> {
        Some(self.get(loc)?.get("$ref")?.as_str()?.to_string())
    }

    /// The node that a reference at `from` names. A fault is noted where there is none.
    pub fn follow(&mut self, from: &NodeLocation, reference: &str) -> Option<NodeLocation> {
        match self.find(from.file, reference) {
            Ok(loc) => Some(loc),
            Err(cause) => {
                self.fault(&from.at("$ref"), format!("$ref '{reference}': {cause}"));
                None
            }
        }
    }

    fn find(&mut self, from: usize, reference: &str) -> Result<NodeLocation, String> {
        let (path, fragment) = reference.split_once('#').unwrap_or((reference, ""));
        let file = if path.is_empty() {
            from
        } else {
            self.file(from, path)?
        };
        let pointer = decode(fragment).ok_or("the fragment's percent-encoding is broken")?;
        if !pointer.is_empty() && !pointer.starts_with('/') {
            return Err("only JSON pointers (#/...) are followed, no anchors".into());
        }
        let loc = NodeLocation { file, pointer };
        match self.get(&loc) {
            Some(_) => Ok(loc),
            None => Err(format!("there is nothing at {}", self.name(&loc))),
        }
    }

    /// What a node leads to among the files that are read, without noting faults.
    pub fn target(&self, loc: &NodeLocation) -> Option<NodeLocation> {
        let mut at = loc.clone();
        for _ in 0..MAX_REFERENCE_CHAIN {
            let Some(reference) = self.reference(&at) else {
                return Some(at);
            };
            let (path, fragment) = reference.split_once('#').unwrap_or((&reference, ""));
            let file = match path.is_empty() {
                true => at.file,
                false => {
                    let name = self.beside(at.file, path).ok()?;
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

    /// The name of the file that a reference in another means.
    fn beside(&self, from: usize, path: &str) -> Result<String, String> {
        if path.contains(':') || path.starts_with("//") {
            return Err(
                "network addresses are not followed: put the file beside the description".into(),
            );
        }
        let path = decode(path).ok_or("the path's percent-encoding is broken")?;
        if path.starts_with('/') {
            return Err(
                "absolute paths are not followed: put the file beside the description".into(),
            );
        }
        let beside = Path::new(&self.files[from].name)
            .parent()
            .unwrap_or(Path::new(""));
        // Worked out in words first, so that a way that leads out of the folder and back is refused, too.
        let mut parts: Vec<String> = Vec::new();
        for part in beside.join(&path).components() {
            match part {
                std::path::Component::CurDir => {}
                std::path::Component::ParentDir if parts.pop().is_some() => {}
                std::path::Component::Normal(name) => {
                    parts.push(name.to_string_lossy().into_owned())
                }
                _ => return Err("this leads out of the description's folder".into()),
            }
        }
        Ok(parts.join("/"))
    }

    /// The number of a file beside another.
    fn file(&mut self, from: usize, path: &str) -> Result<usize, String> {
        let name = self.beside(from, path)?;
        if let Some(known) = self.files.iter().position(|file| file.name == name) {
            return Ok(known);
        }
        if self.unreadable.contains(&name) {
            return Err(format!("the file {name} can't be used"));
        }
        if self.files.len() + self.unreadable.len() >= MAX_FILES {
            return Err(format!("a description has {MAX_FILES} files at most"));
        }
        let read = self.read_beside(&name);
        if read.is_err() {
            self.unreadable.insert(name);
        }
        self.files.push(read?);
        Ok(self.files.len() - 1)
    }

    fn read_beside(&mut self, name: &str) -> Result<Document, String> {
        if self.folder.as_os_str().is_empty() {
            return Err(format!("there is no file {name}"));
        }
        let path = self.folder.join(name);
        // A link may lead out of the folder although its name doesn't.
        let real = path
            .canonicalize()
            .map_err(|e| format!("the file {name}: {e}"))?;
        if !real.starts_with(&self.folder) {
            return Err("this leads out of the description's folder".into());
        }
        let bytes = read(&real).map_err(|cause| format!("the file {name}: {cause}"))?;
        Document::read(name, &bytes).map_err(|fault| {
            self.faults.push(fault);
            format!("the file {name} can't be used")
        })
    }
}

/// A file's bytes; one that is too large or no plain file is not read at all.
fn read(path: &Path) -> Result<Vec<u8>, String> {
    let about = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if !about.is_file() {
        return Err("this is no plain file".into());
    }
    if about.len() > MAX_BYTES as u64 {
        return Err(format!(
            "the file has {} bytes: {MAX_BYTES} at most",
            about.len()
        ));
    }
    std::fs::read(path).map_err(|e| e.to_string())
}

/// Undoes percent-encoding; `None` where it is broken.
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
