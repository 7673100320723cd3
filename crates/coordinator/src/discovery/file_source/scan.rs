//! Reads the files that make up the endpoint list.

use cairnroad_endpoint_files::fault::FileError;
use cairnroad_endpoint_files::file_format::{MAX_BYTES, MAX_FILES};
use cairnroad_endpoint_files::parse::SourceFile;
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The metadata by which a changed file is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileStamp {
    pub(super) inode: u64,
    length: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

/// The stamps of all files, in the order of their names; `None` for a file whose metadata can't be read.
pub(super) type FileStamps = Vec<Option<FileStamp>>;

/// The contents of the files, and the stamps that the files had before they were read.
pub(super) struct Scan {
    pub(super) files: Vec<SourceFile>,
    /// The stamps; empty if the files can't be listed.
    pub(super) stamps: FileStamps,
}

impl Scan {
    /// Returns a checksum of the texts of all files.
    pub(super) fn checksum(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for text in self.files.iter().flat_map(|file| &file.text) {
            hasher.update(text.as_bytes());
        }
        hasher.finalize()
    }
}

/// Reads the files of an endpoint list: one file, or the `*.toml` files of a folder. A file that can't be read is
/// returned with the reason.
pub fn read_files(path: &Path) -> Vec<SourceFile> {
    scan(path).files
}

/// Reads the files and their stamps.
pub(super) fn scan(path: &Path) -> Scan {
    let paths = match list_files(path) {
        Ok(paths) => paths,
        Err(error) => {
            let unreadable = SourceFile {
                name: path.display().to_string(),
                text: Err(error.into()),
            };
            return Scan {
                files: vec![unreadable],
                stamps: Vec::new(),
            };
        }
    };
    let stamps = paths.iter().map(|path| stamp(path)).collect();
    let files = paths.iter().map(|path| read_file(path)).collect();
    Scan { files, stamps }
}

/// Returns the current stamps; empty if the files can't be listed.
pub(super) fn present_stamps(path: &Path) -> FileStamps {
    let paths = list_files(path).unwrap_or_default();
    paths.iter().map(|path| stamp(path)).collect()
}

/// Returns the path itself if it is a file, or the paths of the folder's files that make up a list, sorted by name.
fn list_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !std::fs::metadata(path)?.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let entries = std::fs::read_dir(path)?;
    let mut paths: Vec<PathBuf> = entries
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| is_listed(path))
        .collect();
    paths.sort();
    // One file more than the limit is included, so that the parser reports the excess.
    paths.truncate(MAX_FILES + 1);
    Ok(paths)
}

/// Returns whether a file is part of the list. Editors' backup and swap files begin with a dot or have another
/// extension.
fn is_listed(path: &Path) -> bool {
    let name = file_name(path);
    name.ends_with(".toml") && !name.starts_with('.')
}

fn file_name(path: &Path) -> String {
    let name = path.file_name().unwrap_or_default();
    name.to_string_lossy().into_owned()
}

fn stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileStamp {
        inode: metadata.ino(),
        length: metadata.len(),
        modified_seconds: metadata.mtime(),
        modified_nanoseconds: metadata.mtime_nsec(),
    })
}

fn read_file(path: &Path) -> SourceFile {
    SourceFile {
        name: file_name(path),
        text: read_text(path),
    }
}

/// Reads a file's text, up to the size limit. A pipe or device is not opened, since it might block forever.
fn read_text(path: &Path) -> Result<String, FileError> {
    if !std::fs::metadata(path)?.is_file() {
        return Err(FileError::NotRegular);
    }
    let mut text = String::new();
    let file = std::fs::File::open(path)?;
    file.take(MAX_BYTES as u64 + 1).read_to_string(&mut text)?;
    if text.len() > MAX_BYTES {
        return Err(FileError::TooLarge);
    }
    Ok(text)
}
