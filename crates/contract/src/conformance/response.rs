//! Checks of responses: completeness, status, headers and body.

use super::report::ViolationReport;
use super::types::{header, Conformance, ObservedResponse, ViolationKind};
use crate::model::{Description, Operation, Response, Status};
use crate::schema::clip;

impl Description {
    /// Checks a response against the operation with this index. Reports nothing for an index that doesn't exist.
    pub fn check_response(
        &self,
        operation_index: usize,
        response: &ObservedResponse,
    ) -> Conformance<'_> {
        let Some(operation) = self.operations.get(operation_index) else {
            return Conformance::undescribed(Vec::new());
        };
        let mut report = ViolationReport::new(self);
        if response.complete {
            check_complete_response(&mut report, operation, response);
        } else {
            let found = format!("{} bytes, then the end", response.body.len());
            report.add(
                ViolationKind::Truncated,
                "body",
                Some(&operation.node),
                "a whole answer",
                &found,
            );
        }
        Conformance {
            operation: Some(&operation.name),
            operation_index: Some(operation_index),
            violations: report.into_violations(),
        }
    }
}

fn check_complete_response(
    report: &mut ViolationReport,
    operation: &Operation,
    response: &ObservedResponse,
) {
    let Some(described) = described_response(operation, response.status) else {
        return report.add(
            ViolationKind::Status,
            "status",
            Some(&operation.node.at("responses")),
            &clip(&described_statuses(operation)),
            &response.status.to_string(),
        );
    };
    for parameter in &described.headers {
        let text = header(response.fields, &parameter.name).map(|text| Some(text.to_string()));
        report.check_parameter(parameter, text.into_iter().collect());
    }
    check_response_body(report, operation, described, response);
}

fn check_response_body(
    report: &mut ViolationReport,
    operation: &Operation,
    described: &Response,
    response: &ObservedResponse,
) {
    if !response.body.is_empty() {
        if !described.content.is_empty() {
            let content_type = header(response.fields, "Content-Type");
            report.check_body(
                &described.content,
                &described.node,
                content_type,
                response.body,
            );
        }
        return;
    }
    let never_has_body =
        matches!(response.status, 204 | 304) || operation.name.starts_with("HEAD ");
    let has_schema = described
        .content
        .iter()
        .any(|media| media.schema.node.is_some());
    if has_schema && !never_has_body {
        report.add_missing_body(&described.node);
    }
}

/// Returns the described response that covers a status most exactly.
fn described_response(operation: &Operation, status: u16) -> Option<&Response> {
    let covers = |response: &&Response| match response.status {
        Status::Exactly(exactly) => exactly == status,
        Status::Range(first) => first == status / 100,
        Status::Default => true,
    };
    operation
        .responses
        .iter()
        .filter(covers)
        .min_by_key(|response| response.status)
}

/// Lists the statuses that an operation describes, in the description's notation.
fn described_statuses(operation: &Operation) -> String {
    operation
        .responses
        .iter()
        .map(|response| match response.status {
            Status::Exactly(status) => status.to_string(),
            Status::Range(first) => format!("{first}XX"),
            Status::Default => "default".into(),
        })
        .collect::<Vec<_>>()
        .join(", ")
}
