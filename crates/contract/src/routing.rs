//! Which operation a request means: path templates, the most concrete first.

/// A piece of a segment.
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

impl Template {
    /// Reads a template; the error says what is wrong with it.
    pub fn read(text: &str) -> Result<Template, String> {
        let Some(path) = text.strip_prefix('/') else {
            return Err("a path must begin with '/'".into());
        };
        let mut names: Vec<String> = Vec::new();
        let mut segments = Vec::new();
        for segment in path.split('/') {
            let mut pieces = Vec::new();
            let mut rest = segment;
            while !rest.is_empty() {
                let (text, after) = rest
                    .split_once('{')
                    .map_or((rest, None), |(text, after)| (text, Some(after)));
                if text.contains('}') {
                    return Err("a '}' stands without its '{'".into());
                }
                if !text.is_empty() {
                    pieces.push(SegmentPart::Text(text.into()));
                }
                let Some(after) = after else { break };
                let Some((name, after)) = after.split_once('}') else {
                    return Err("a '{' stands without its '}'".into());
                };
                if name.is_empty() || name.contains('{') {
                    return Err("a variable needs a name between '{' and '}'".into());
                }
                if names.iter().any(|known| known == name) {
                    return Err(format!("the variable {{{name}}} is there twice"));
                }
                if matches!(pieces.last(), Some(SegmentPart::Variable(_))) {
                    return Err(
                        "two variables stand side by side: nothing tells where one ends".into(),
                    );
                }
                names.push(name.into());
                pieces.push(SegmentPart::Variable(name.into()));
                rest = after;
            }
            segments.push(pieces);
        }
        if segments.len() > MAX_SEGMENTS {
            return Err(format!("a path has {MAX_SEGMENTS} segments at most"));
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
        for (pieces, segment) in self.segments.iter().zip(path) {
            let mut rest = *segment;
            let mut pieces = pieces.iter().peekable();
            while let Some(piece) = pieces.next() {
                match (piece, pieces.peek()) {
                    (SegmentPart::Text(text), _) => rest = rest.strip_prefix(text.as_str())?,
                    // The last text of a segment is looked for from its end, so that `{name}.{ending}` takes `a.b.json`.
                    (SegmentPart::Variable(name), Some(SegmentPart::Text(text))) => {
                        let mut after = pieces.clone();
                        after.next();
                        let last = !after.any(|piece| matches!(piece, SegmentPart::Text(_)));
                        let at = if last {
                            rest.rfind(text.as_str())
                        } else {
                            rest.find(text.as_str())
                        }?;
                        if at == 0 {
                            return None;
                        }
                        values.push((name.as_str(), &rest[..at]));
                        rest = &rest[at..];
                    }
                    (SegmentPart::Variable(name), _) => {
                        if rest.is_empty() {
                            return None;
                        }
                        values.push((name.as_str(), rest));
                        rest = "";
                    }
                }
            }
            if !rest.is_empty() {
                return None;
            }
        }
        Some(values)
    }
}

/// A table of templates with the operation that each method of theirs stands for.
#[derive(Clone, Debug, Default)]
pub struct Router {
    routes: Vec<(Template, Vec<(String, usize)>)>,
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
    /// Adds an operation. Templates are taken in any order.
    pub fn add(&mut self, template: &Template, method: &str, operation: usize) {
        let entry = (method.to_ascii_uppercase(), operation);
        match self.routes.iter_mut().find(|(known, _)| known == template) {
            Some((_, methods)) => methods.push(entry),
            None => {
                let at = self
                    .routes
                    .partition_point(|(known, _)| known.rank() <= template.rank());
                self.routes.insert(at, (template.clone(), vec![entry]));
            }
        }
    }

    /// Finds the operation of a request. Where the most concrete template that matches has not the method, a less
    /// concrete one may.
    pub fn find<'r, 'p>(&'r self, method: &str, path: &'p str) -> RouteMatch<'r, 'p> {
        let segments: Vec<&str> = path.strip_prefix('/').unwrap_or(path).split('/').collect();
        let mut others = Vec::new();
        for (template, methods) in &self.routes {
            let Some(values) = template.matches(&segments) else {
                continue;
            };
            match methods.iter().find(|(known, _)| known == method) {
                Some((_, operation)) => return RouteMatch::Operation(*operation, values),
                None => others.extend(methods.iter().map(|(known, _)| known.as_str())),
            }
        }
        match others.is_empty() {
            true => RouteMatch::Nothing,
            false => RouteMatch::OtherMethods(others),
        }
    }
}

#[cfg(test)]
mod tests;
