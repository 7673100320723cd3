//! Finds the operation of a request by its method and path: path templates, the most concrete first.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use std::cmp::Reverse;

/// A part of a path segment: literal text, or a variable by its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SegmentPart {
    Text(String),
    Variable(String),
}

/// A path template, such as `/{index}/_search`.
#[derive(Clone, Debug, PartialEq)]
pub struct Template {
    segments: Vec<Vec<SegmentPart>>,
}

/// The most segments of a template, which bounds the cost of matching.
const MAX_SEGMENTS: usize = 64;

/// What is wrong with a path template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// The path doesn't begin with a slash.
    #[error("a path must begin with '/'")]
    NoLeadingSlash,
    /// A closing brace without an opening one.
    #[error("a '}}' stands without its '{{'")]
    UnopenedVariable,
    /// An opening brace without a closing one.
    #[error("a '{{' stands without its '}}'")]
    UnclosedVariable,
    /// A variable without a name.
    #[error("a variable needs a name between '{{' and '}}'")]
    UnnamedVariable,
    /// Two variables of the same name.
    #[error("the variable {{{name}}} is there twice")]
    DuplicateVariable {
        /// Name of the variable.
        name: String,
    },
    /// Two variables without text between them.
    #[error("two variables stand side by side: nothing tells where one ends")]
    AdjacentVariables,
    /// Too many segments.
    #[error("a path has {MAX_SEGMENTS} segments at most")]
    TooManySegments,
}

impl Template {
    /// Parses a template.
    pub fn parse(text: &str) -> Result<Template, TemplateError> {
        let path = text
            .strip_prefix('/')
            .ok_or(TemplateError::NoLeadingSlash)?;
        let mut names = Vec::new();
        let mut segments = Vec::new();
        for segment in path.split('/') {
            segments.push(parse_segment(segment, &mut names)?);
        }
        if segments.len() > MAX_SEGMENTS {
            return Err(TemplateError::TooManySegments);
        }
        Ok(Template { segments })
    }

    /// The names of its variables, in order.
    pub fn variables(&self) -> impl Iterator<Item = &str> {
        self.segments
            .iter()
            .flatten()
            .filter_map(|part| match part {
                SegmentPart::Variable(name) => Some(name.as_str()),
                SegmentPart::Text(_) => None,
            })
    }

    /// The template without the names of its variables: templates of the same shape match the same paths.
    pub fn shape(&self) -> String {
        let part_shape = |part: &SegmentPart| match part {
            SegmentPart::Text(text) => text.clone(),
            SegmentPart::Variable(_) => "{}".into(),
        };
        self.segments
            .iter()
            .map(|parts| format!("/{}", parts.iter().map(part_shape).collect::<String>()))
            .collect()
    }

    /// How concrete it is, segment by segment; the most concrete template sorts first.
    fn rank(&self) -> Vec<SegmentRank> {
        self.segments
            .iter()
            .map(|parts| SegmentRank::of(parts))
            .collect()
    }

    /// The variables if the path matches.
    fn matches<'p>(&self, path: &[&'p str]) -> Option<Vec<PathVariable<'_, 'p>>> {
        if path.len() != self.segments.len() {
            return None;
        }
        let mut variables = Vec::new();
        for (parts, segment) in self.segments.iter().zip(path) {
            match_segment(parts, segment, &mut variables)?;
        }
        Some(variables)
    }
}

/// How concrete a segment of a template is, from the most concrete to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SegmentRank {
    /// No variables.
    Literal,
    /// Text and variables: more text is more concrete.
    Mixed(Reverse<usize>),
    /// Only a variable.
    Variable,
}

impl SegmentRank {
    fn of(parts: &[SegmentPart]) -> SegmentRank {
        let mut text_length = 0;
        let mut has_variable = false;
        for part in parts {
            match part {
                SegmentPart::Text(text) => text_length += text.len(),
                SegmentPart::Variable(_) => has_variable = true,
            }
        }
        match (has_variable, text_length) {
            (false, _) => SegmentRank::Literal,
            (true, 0) => SegmentRank::Variable,
            (true, length) => SegmentRank::Mixed(Reverse(length)),
        }
    }
}

fn parse_segment(
    segment: &str,
    names: &mut Vec<String>,
) -> Result<Vec<SegmentPart>, TemplateError> {
    let mut parts = Vec::new();
    let mut rest = segment;
    while !rest.is_empty() {
        let (text, variable) = match rest.split_once('{') {
            Some((text, variable)) => (text, Some(variable)),
            None => (rest, None),
        };
        if text.contains('}') {
            return Err(TemplateError::UnopenedVariable);
        }
        if !text.is_empty() {
            parts.push(SegmentPart::Text(text.into()));
        }
        let Some(variable) = variable else { break };
        let (name, after) = variable
            .split_once('}')
            .ok_or(TemplateError::UnclosedVariable)?;
        if name.is_empty() || name.contains('{') {
            return Err(TemplateError::UnnamedVariable);
        }
        if names.iter().any(|known| known == name) {
            let name = name.into();
            return Err(TemplateError::DuplicateVariable { name });
        }
        if matches!(parts.last(), Some(SegmentPart::Variable(_))) {
            return Err(TemplateError::AdjacentVariables);
        }
        names.push(name.into());
        parts.push(SegmentPart::Variable(name.into()));
        rest = after;
    }
    Ok(parts)
}

/// Matches one segment and adds its variables; `None` if it doesn't match.
fn match_segment<'t, 'p>(
    parts: &'t [SegmentPart],
    segment: &'p str,
    variables: &mut Vec<PathVariable<'t, 'p>>,
) -> Option<()> {
    let mut rest = segment;
    for (index, part) in parts.iter().enumerate() {
        let name = match part {
            SegmentPart::Text(text) => {
                rest = rest.strip_prefix(text.as_str())?;
                continue;
            }
            SegmentPart::Variable(name) => name,
        };
        let end = match parts.get(index + 1) {
            Some(SegmentPart::Text(text)) => find_text(rest, text, &parts[index + 2..])?,
            Some(SegmentPart::Variable(_)) | None => rest.len(),
        };
        if end == 0 {
            return None;
        }
        variables.push(PathVariable {
            name,
            value: &rest[..end],
        });
        rest = &rest[end..];
    }
    rest.is_empty().then_some(())
}

/// Where the text after a variable begins. The last text of a segment is searched from the segment's end, so that
/// `{name}.{ending}` matches `a.b.json`.
fn find_text(rest: &str, text: &str, following: &[SegmentPart]) -> Option<usize> {
    let has_more_text = following
        .iter()
        .any(|part| matches!(part, SegmentPart::Text(_)));
    if has_more_text {
        rest.find(text)
    } else {
        rest.rfind(text)
    }
}

/// The operations of one template.
#[derive(Clone, Debug)]
struct Route {
    template: Template,
    methods: Vec<RouteMethod>,
}

/// A method, in capitals, and the index of its operation.
#[derive(Clone, Debug)]
struct RouteMethod {
    method: String,
    operation: usize,
}

/// A table of templates, the most concrete first.
#[derive(Clone, Debug, Default)]
pub struct Router {
    routes: Vec<Route>,
}

/// A variable of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathVariable<'r, 'p> {
    /// Its name in the template.
    pub name: &'r str,
    /// Its text in the path, still percent-encoded.
    pub value: &'p str,
}

/// What a path leads to.
#[derive(Debug, PartialEq)]
pub enum RouteMatch<'r, 'p> {
    /// The index of the operation, and the path's variables.
    Operation(usize, Vec<PathVariable<'r, 'p>>),
    /// The path is described, but not with this method.
    OtherMethods(Vec<&'r str>),
    /// No template matches.
    Nothing,
}

impl Router {
    /// Adds an operation. Templates may be added in any order.
    pub fn add(&mut self, template: &Template, method: &str, operation: usize) {
        let method = RouteMethod {
            method: method.to_ascii_uppercase(),
            operation,
        };
        let known = self
            .routes
            .iter_mut()
            .find(|route| route.template == *template);
        if let Some(route) = known {
            return route.methods.push(method);
        }
        let index = self
            .routes
            .partition_point(|route| route.template.rank() <= template.rank());
        let route = Route {
            template: template.clone(),
            methods: vec![method],
        };
        self.routes.insert(index, route);
    }

    /// Finds the operation of a request. A less concrete template is used if the more concrete ones that match don't have
    /// the method.
    pub fn find<'r, 'p>(&'r self, method: &str, path: &'p str) -> RouteMatch<'r, 'p> {
        let segments: Vec<&str> = path.strip_prefix('/').unwrap_or(path).split('/').collect();
        let mut other_methods = Vec::new();
        for route in &self.routes {
            let Some(variables) = route.template.matches(&segments) else {
                continue;
            };
            match route.methods.iter().find(|known| known.method == method) {
                Some(known) => return RouteMatch::Operation(known.operation, variables),
                None => other_methods.extend(route.methods.iter().map(|m| m.method.as_str())),
            }
        }
        if other_methods.is_empty() {
            RouteMatch::Nothing
        } else {
            RouteMatch::OtherMethods(other_methods)
        }
    }
}

#[cfg(test)]
mod tests;
