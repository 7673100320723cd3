//! Which operation a request means: path templates, the most concrete first.

/// A part of a path segment.
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

/// The most segments of a template.
const MAX_SEGMENTS: usize = 64;

/// What is wrong with a path template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(
    missing_docs,
    reason = "a variant's text says what it is; docs would repeat it"
)]
pub enum TemplateError {
    #[error("a path must begin with '/'")]
    NoLeadingSlash,
    #[error("a '}}' stands without its '{{'")]
    UnopenedVariable,
    #[error("a '{{' stands without its '}}'")]
    UnclosedVariable,
    #[error("a variable needs a name between '{{' and '}}'")]
    UnnamedVariable,
    #[error("the variable {{{name}}} is there twice")]
    DuplicateVariable { name: String },
    #[error("two variables stand side by side: nothing tells where one ends")]
    AdjacentVariables,
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

    /// The names of its variables.
    pub fn variables(&self) -> impl Iterator<Item = &str> {
        self.segments
            .iter()
            .flatten()
            .filter_map(|piece| match piece {
                SegmentPart::Variable(name) => Some(name.as_str()),
                SegmentPart::Text(_) => None,
            })
    }

    /// The template with its variables' names left out: two of one shape match the same paths.
    pub fn shape(&self) -> String {
        let piece = |piece: &SegmentPart| match piece {
            SegmentPart::Text(text) => text.clone(),
            SegmentPart::Variable(_) => "{}".into(),
        };
        self.segments
            .iter()
            .map(|s| format!("/{}", s.iter().map(piece).collect::<String>()))
            .collect()
    }

    /// How concrete it is, segment by segment: the most concrete sorts first.
    fn rank(&self) -> Vec<(u8, usize)> {
        let rank = |pieces: &Vec<SegmentPart>| {
            let text: usize = pieces
                .iter()
                .map(|p| {
                    if let SegmentPart::Text(text) = p {
                        text.len()
                    } else {
                        0
                    }
                })
                .sum();
            match pieces
                .iter()
                .any(|piece| matches!(piece, SegmentPart::Variable(_)))
            {
                false => (0, 0),
                true if text > 0 => (1, usize::MAX - text),
                true => (2, 0),
            }
        };
        self.segments.iter().map(rank).collect()
    }

    /// The variables' values if the path matches, still percent-encoded.
    fn matches<'p>(&self, path: &[&'p str]) -> Option<Vec<(&str, &'p str)>> {
        if path.len() != self.segments.len() {
            return None;
        }
        let mut values = Vec::new();
        for (parts, segment) in self.segments.iter().zip(path) {
            match_segment(parts, segment, &mut values)?;
        }
        Some(values)
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

/// Matches one segment and adds its variables' values; `None` if it differs.
fn match_segment<'t, 'p>(
    parts: &'t [SegmentPart],
    segment: &'p str,
    values: &mut Vec<(&'t str, &'p str)>,
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
        values.push((name, &rest[..end]));
        rest = &rest[end..];
    }
    rest.is_empty().then_some(())
}

/// Where the text after a variable begins. The last text of a segment is looked for from the segment's end, so that
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

/// A method, in capitals, and the number of its operation.
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

/// What a path leads to.
#[derive(Debug, PartialEq)]
pub enum RouteMatch<'r, 'p> {
    /// The operation's number and the variables' values.
    Operation(usize, Vec<(&'r str, &'p str)>),
    /// The path is described, but not with this method.
    OtherMethods(Vec<&'r str>),
    /// No template matches.
    Nothing,
}

impl Router {
    /// Adds an operation. Templates come in any order.
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

    /// Finds the operation of a request. Where the most concrete template that matches doesn't have the method, a less
    /// concrete one may.
    pub fn find<'r, 'p>(&'r self, method: &str, path: &'p str) -> RouteMatch<'r, 'p> {
        let segments: Vec<&str> = path.strip_prefix('/').unwrap_or(path).split('/').collect();
        let mut other_methods = Vec::new();
        for route in &self.routes {
            let Some(values) = route.template.matches(&segments) else {
                continue;
            };
            match route.methods.iter().find(|known| known.method == method) {
                Some(known) => return RouteMatch::Operation(known.operation, values),
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
