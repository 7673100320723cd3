//! Compiles the registered schemas: checks them against their metaschema and compiles them for each direction.

use super::bundle::{address, BASE};
use super::{clip, Dialect, Direction, SchemaRegistry};
use crate::sources::{NodeLocation, Sources};
use jsonschema::error::ValidationErrorKind;
use jsonschema::{Draft, PatternOptions, Registry, ValidationError, Validator};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The largest size of a compiled regular expression in memory, in bytes.
const MAX_PATTERN_MEMORY: usize = 256 * 1024;

impl SchemaRegistry {
    /// Compiles the wanted schemas, each for its direction. Faults are added to the sources; after a fault the result
    /// is incomplete.
    pub fn compile(
        &self,
        sources: &mut Sources,
        wanted: &BTreeSet<(NodeLocation, Direction)>,
    ) -> BTreeMap<(NodeLocation, Direction), Arc<Validator>> {
        let mut compiled = BTreeMap::new();
        let draft = self.draft();
        let requests = self.bundle(sources, Direction::Request);
        let responses = self.bundle(sources, Direction::Response);
        self.check_metaschema(sources, draft, &requests);
        if !sources.faults.is_empty() {
            return compiled;
        }
        let bundles = [
            (Direction::Request, requests),
            (Direction::Response, responses),
        ];
        for (direction, files) in &bundles {
            let Some(registry) = prepare_registry(sources, draft, files) else {
                return compiled;
            };
            for (node, _) in wanted.iter().filter(|(_, wanted)| wanted == direction) {
                match build_validator(draft, &registry, node) {
                    Ok(validator) => {
                        compiled.insert((node.clone(), *direction), Arc::new(validator));
                    }
                    Err(error) => self.report_compile_error(sources, node, &error),
                }
            }
        }
        compiled
    }

    fn draft(&self) -> Draft {
        match self.dialect {
            Dialect::Json7 => Draft::Draft7,
            Dialect::OpenApi30 | Dialect::Json2020 => Draft::Draft202012,
        }
    }

    /// Checks each root schema against the draft's metaschema.
    fn check_metaschema(&self, sources: &mut Sources, draft: Draft, files: &[Value]) {
        for root in &self.roots {
            let Some(schema) = files[root.file].pointer(&root.pointer) else {
                continue;
            };
            let checked = match draft {
                Draft::Draft7 => jsonschema::draft7::meta::validate(schema),
                _ => jsonschema::draft202012::meta::validate(schema),
            };
            let Err(error) = checked else {
                continue;
            };
            let already_reported = sources
                .faults
                .list
                .iter()
                .any(|fault| fault.pointer.starts_with(&root.pointer));
            if already_reported {
                continue;
            }
            let at = NodeLocation {
                file: root.file,
                pointer: format!("{}{}", root.pointer, error.instance_path()),
            };
            let cause = format!("invalid schema: {}", clip(&error.to_string()));
            sources.fault(&at, cause);
        }
    }

    /// Reports why a schema can't be compiled.
    fn report_compile_error(
        &self,
        sources: &mut Sources,
        node: &NodeLocation,
        error: &ValidationError,
    ) {
        let is_pattern =
            matches!(error.kind(), ValidationErrorKind::Format { format } if format == "regex");
        // The compiler reports the text of a faulty regular expression, but not its node.
        let pattern = error.instance().as_ref();
        let place = self
            .schemas
            .keys()
            .find(|at| is_pattern && sources.get(&at.at("pattern")) == Some(pattern));
        match place {
            Some(at) => sources.fault(
                &at.at("pattern"),
                format!(
                    "invalid regular expression, or its compiled form exceeds {MAX_PATTERN_MEMORY} bytes"
                ),
            ),
            None => sources.fault(
                node,
                format!(
                    "cannot compile the schema: {}",
                    clip(&error.to_string())
                ),
            ),
        }
    }
}

/// Registers the files with the compiler under their URIs.
fn prepare_registry(
    sources: &mut Sources,
    draft: Draft,
    files: &[Value],
) -> Option<Registry<'static>> {
    let mut registry = Registry::new().draft(draft);
    for (number, file) in files.iter().enumerate() {
        let resource = draft.create_resource(file.clone());
        // URIs that this module builds can always be parsed.
        registry = registry.add(format!("{BASE}{number}"), resource).ok()?;
    }
    match registry.prepare() {
        Ok(registry) => Some(registry),
        Err(error) => {
            sources.fault(
                &sources.root(),
                format!("cannot compile the schemas: {error}"),
            );
            None
        }
    }
}

fn build_validator(
    draft: Draft,
    registry: &Registry<'static>,
    node: &NodeLocation,
) -> Result<Validator, ValidationError<'static>> {
    let schema = json!({"$ref": address(node)});
    let patterns = PatternOptions::regex()
        .size_limit(MAX_PATTERN_MEMORY)
        .dfa_size_limit(MAX_PATTERN_MEMORY);
    jsonschema::options()
        .with_draft(draft)
        .with_base_uri(format!("{BASE}start"))
        .with_registry(registry)
        .with_pattern_options(patterns)
        .should_validate_formats(true)
        .should_ignore_unknown_formats(true)
        .build(&schema)
}
