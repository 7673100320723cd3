//! Reads descriptions: opens the files and runs the parser of their format.

use crate::builder::DescriptionBuilder;
use crate::fault::{Fault, Faults};
use crate::model::{Description, DescriptionFormat};
use crate::sources::Sources;
use crate::{asyncapi, openapi};
use std::path::Path;

impl Description {
    /// Reads a description and all files that it refers to.
    pub fn open(path: &Path) -> Result<Description, Faults> {
        Self::read(Sources::open(path))
    }

    /// Reads a description from text. The ending of `name` selects JSON or YAML.
    pub fn from_text(name: &str, text: &str) -> Result<Description, Faults> {
        Self::read(Sources::from_text(name, text))
    }

    fn read(sources: Result<Sources, Fault>) -> Result<Description, Faults> {
        let sources = sources.map_err(|fault| Faults {
            list: vec![fault],
            more: 0,
        })?;
        let mut builder = DescriptionBuilder::new(sources)?;
        match builder.format {
            DescriptionFormat::OpenApi => openapi::read(&mut builder),
            DescriptionFormat::AsyncApi => asyncapi::read(&mut builder),
        }
        builder.finish()
    }
}
