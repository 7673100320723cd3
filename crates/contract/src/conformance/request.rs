//! Checks of requests: method, path, parameters and body.

use super::report::ViolationReport;
use super::types::{header, Conformance, ObservedRequest, ViolationKind};
use crate::model::{Description, Operation, Parameter, ParameterLocation};
use crate::routing::{PathVariable, RouteMatch};
use crate::schema::clip;
use crate::sources::decode;

/// The largest number of query parameters that are read. Further ones are ignored, which bounds the cost of a request.
const MAX_QUERY_PARAMETERS: usize = 256;

/// The parts of a request that hold parameters.
struct ParameterSources<'m> {
    path_variables: Vec<PathVariable<'m, 'm>>,
    query: &'m str,
    fields: &'m [(String, String)],
}

impl Description {
    /// Checks a request against the operation that its method and path select.
    pub fn check_request(&self, request: &ObservedRequest) -> Conformance<'_> {
        let mut report = ViolationReport::new(self);
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((request.target, ""));
        let (number, path_variables) = match self.router.find(request.method, path) {
            RouteMatch::Operation(number, variables) => (number, variables),
            RouteMatch::OtherMethods(methods) => {
                let expected = methods.join(" or ");
                report.add(
                    ViolationKind::Unknown,
                    "method",
                    None,
                    &expected,
                    request.method,
                );
                return Conformance::undescribed(report.into_violations());
            }
            RouteMatch::Nothing => {
                let expected = "a path that is described";
                report.add(ViolationKind::Unknown, "path", None, expected, &clip(path));
                return Conformance::undescribed(report.into_violations());
            }
        };
        let operation = &self.operations[number];
        let sources = ParameterSources {
            path_variables,
            query,
            fields: request.fields,
        };
        for parameter in &operation.parameters {
            report.check_parameter(parameter, sources.texts_of(parameter));
        }
        check_request_body(&mut report, operation, request);
        Conformance {
            operation: Some(&operation.name),
            operation_index: Some(number),
            violations: report.into_violations(),
        }
    }
}

fn check_request_body(
    report: &mut ViolationReport,
    operation: &Operation,
    request: &ObservedRequest,
) {
    let described = operation.node.at("requestBody");
    if request.body.is_empty() {
        if operation.body_required {
            report.add_missing_body(&described);
        }
        return;
    }
    if operation.body.is_empty() {
        return;
    }
    let content_type = header(request.fields, "Content-Type");
    // Many clients omit the content type if only one is described.
    let only_type = match (content_type, operation.body.as_slice()) {
        (None, [only]) => Some(only.range.to_string()),
        _ => None,
    };
    let content_type = content_type.or(only_type.as_deref());
    report.check_body(&operation.body, &described, content_type, request.body);
}

impl ParameterSources<'_> {
    /// Returns the decoded texts of a parameter. A text is `None` if its percent-encoding is invalid.
    fn texts_of(&self, parameter: &Parameter) -> Vec<Option<String>> {
        match parameter.location {
            ParameterLocation::Path => self.path_texts(&parameter.name),
            ParameterLocation::Query => self.query_texts(&parameter.name),
            ParameterLocation::Header => self.header_texts(&parameter.name),
            ParameterLocation::Cookie => self.cookie_texts(&parameter.name),
        }
    }

    fn path_texts(&self, name: &str) -> Vec<Option<String>> {
        self.path_variables
            .iter()
            .filter(|variable| variable.name == name)
            .map(|variable| decode(variable.value))
            .collect()
    }

    fn query_texts(&self, name: &str) -> Vec<Option<String>> {
        query_parameters(self.query)
            .filter(|(known, _)| known.as_deref() == Some(name))
            .map(|(_, text)| text)
            .collect()
    }

    fn header_texts(&self, name: &str) -> Vec<Option<String>> {
        header(self.fields, name)
            .map(|text| Some(text.to_string()))
            .into_iter()
            .collect()
    }

    fn cookie_texts(&self, name: &str) -> Vec<Option<String>> {
        header(self.fields, "Cookie")
            .unwrap_or("")
            .split(';')
            .filter_map(|cookie| cookie.trim().split_once('='))
            .filter(|(known, _)| *known == name)
            .map(|(_, text)| decode(text))
            .collect()
    }
}

/// Returns the names and values of a query string. A text is `None` if its percent-encoding is invalid.
fn query_parameters(query: &str) -> impl Iterator<Item = (Option<String>, Option<String>)> + '_ {
    let decode_form = |text: &str| decode(&text.replace('+', " "));
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .take(MAX_QUERY_PARAMETERS)
        .map(move |pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode_form(name), decode_form(value))
        })
}
