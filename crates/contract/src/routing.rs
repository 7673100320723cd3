//! Finds the operation of a request by its method and path. Path templates are tried from the most to the least
//! concrete.

use std::cmp::Reverse;

/// A part of a path segment: literal text, or a variable with its name.
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

/// The largest number of segments in a template, which bounds the cost of matching.
const MAX_SEGMENTS: usize = 64;

/// The error of a path template that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// The path does not begin with a slash.
    #[error("expected a path that begins with '/'")]
    NoLeadingSlash,
    /// The path has a closing brace without an opening one.
    #[error("unmatched '}}' without an opening '{{'")]
    UnopenedVariable,
    /// The path has an opening brace without a closing one.
    #[error("unmatched '{{' without a closing '}}'")]
    UnclosedVariable,
    /// A variable has no name.
    #[error("expected a variable name between '{{' and '}}'")]
    UnnamedVariable,
    /// Two variables have the same name.
    #[error("duplicate path variable {{{name}}}")]
    DuplicateVariable {
        /// The name that both variables have.
        name: String,
    },
    /// Two variables have no text between them, so a path does not show where the first one ends.
    #[error("adjacent path variables: expected text between them")]
    AdjacentVariables,
    /// The path has more than `MAX_SEGMENTS` segments.
    #[error("too many path segments: expected at most {MAX_SEGMENTS}")]
    TooManySegments,
}

impl Template {
    /// Parses a path template such as `/{index}/_search`.
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

    /// Returns the names of the template's variables, in order.
    pub fn variables(&self) -> impl Iterator<Item = &str> {
        self.segments
            .iter()
            .flatten()
            .filter_map(|part| match part {
                SegmentPart::Variable(name) => Some(name.as_str()),
                SegmentPart::Text(_) => None,
            })
    }

    /// Returns the template with the names of its variables removed. Templates of the same shape match the same paths.
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

    /// Returns how concrete the template is, segment by segment; the most concrete template sorts first.
    fn rank(&self) -> Vec<SegmentRank> {
        self.segments
            .iter()
            .map(|parts| SegmentRank::of(parts))
            .collect()
    }

    /// Returns the values of the variables if the path matches the template.
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
    /// The segment has no variables.
    Literal,
    /// The segment has text and variables; more text is more concrete.
    Mixed(Reverse<usize>),
    /// The segment is a single variable.
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

/// Matches one segment and adds the values of its variables; returns `None` if the segment does not match.
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

/// Returns the offset at which the text after a variable begins. The last text of a segment is searched from the
/// segment's end, so that `{name}.{ending}` matches `a.b.json`.
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

/// A path template with the operations of its methods.
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

/// A routing table: path templates with their operations, ordered from the most to the least concrete.
#[derive(Clone, Debug, Default)]
pub struct Router {
    routes: Vec<Route>,
}

/// The value of a path variable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathVariable<'r, 'p> {
    /// The variable's name in the template.
    pub name: &'r str,
    /// The variable's text in the path, still percent-encoded.
    pub value: &'p str,
}

/// The result of looking up a method and path.
#[derive(Debug, PartialEq)]
pub enum RouteMatch<'r, 'p> {
    /// An operation matches; holds its index and the values of the path variables.
    Operation(usize, Vec<PathVariable<'r, 'p>>),
    /// The path is described, but only with these other methods.
    OtherMethods(Vec<&'r str>),
    /// No template matches the path.
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

    /// Finds the operation of a request. A less concrete template is used if the more concrete templates that match do
    /// not have the method.
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
