//! Differences between the operations of two OpenAPI descriptions: their bodies and responses.

use super::{ChangeImpact, Comparison, Position};
use crate::model::{Description, Media, Operation, Response, Status};
use crate::routing::Template;
use crate::schema::Direction;
use std::collections::BTreeMap;

impl Comparison<'_> {
    pub(super) fn compare_operations(&mut self) {
        let old = self.old;
        let new = self.new;
        let before = operations_by_shape(old);
        let after = operations_by_shape(new);
        for (shape, operation) in &before {
            self.operation = operation.name.to_string();
            match after.get(shape) {
                None => self.add(ChangeImpact::Breaking, "", "the operation is gone"),
                Some(now) => self.compare_operation(operation, now),
            }
        }
        for (shape, operation) in &after {
            if !before.contains_key(shape) {
                self.operation = operation.name.to_string();
                self.add(ChangeImpact::Compatible, "", "the operation is new");
            }
        }
    }

    fn compare_operation(&mut self, old: &Operation, new: &Operation) {
        self.compared.clear();
        self.compare_names(old, new);
        self.compare_annotations("", &old.node, &new.node);
        self.compare_parameters(Direction::Request, "", &old.parameters, &new.parameters);
        self.compare_request_bodies(old, new);
        for response in &old.responses {
            match find_response(&new.responses, response.status) {
                Some(now) => self.compare_response(response, now),
                None => self.add_removed_response(response),
            }
        }
        for response in &new.responses {
            if find_response(&old.responses, response.status).is_none() {
                self.add_new_response(&old.responses, response);
            }
        }
    }

    fn compare_names(&mut self, old: &Operation, new: &Operation) {
        if old.name != new.name {
            let what = format!("a variable's name differs: {}", new.name);
            self.add(ChangeImpact::Cosmetic, "path", what);
        }
        if old.id != new.id {
            let before = old.id.as_deref().unwrap_or("none");
            let after = new.id.as_deref().unwrap_or("none");
            let what = format!("the operation's id was {before} and is {after}");
            self.add(ChangeImpact::Cosmetic, "", what);
        }
    }

    fn compare_request_bodies(&mut self, old: &Operation, new: &Operation) {
        let is_described = (!old.body.is_empty(), !new.body.is_empty());
        let is_required = (old.body_required, new.body_required);
        let change = match (is_described, is_required) {
            ((false, true), (_, true)) => Some((ChangeImpact::Breaking, "a body is now required")),
            ((false, true), (_, false)) => {
                Some((ChangeImpact::Compatible, "a body may now be given"))
            }
            ((true, false), _) => Some((ChangeImpact::Breaking, "no body is described any more")),
            (_, (false, true)) => Some((ChangeImpact::Breaking, "the body became required")),
            (_, (true, false)) => Some((ChangeImpact::Compatible, "the body became optional")),
            _ => None,
        };
        if let Some((impact, what)) = change {
            self.add(impact, "body", what);
        }
        if is_described == (true, true) {
            let at = Position {
                direction: Direction::Request,
                place: "body",
            };
            self.compare_media(at, &old.body, &new.body);
        }
    }

    fn compare_response(&mut self, old: &Response, new: &Response) {
        let place = response_place(old.status);
        self.compare_annotations(&place, &old.node, &new.node);
        self.compare_parameters(Direction::Response, &place, &old.headers, &new.headers);
        match (old.content.is_empty(), new.content.is_empty()) {
            (false, true) => self.add(ChangeImpact::Breaking, &place, "its body is gone"),
            (true, false) => self.add(ChangeImpact::Compatible, &place, "it has a body now"),
            _ => {
                let at = Position {
                    direction: Direction::Response,
                    place: &place,
                };
                self.compare_media(at, &old.content, &new.content);
            }
        }
    }

    /// Adds a removed response, which is breaking only if it was the successful one.
    fn add_removed_response(&mut self, response: &Response) {
        let impact = if is_success(response.status) {
            ChangeImpact::Breaking
        } else {
            ChangeImpact::Compatible
        };
        let place = response_place(response.status);
        self.add(impact, &place, "this answer is gone");
    }

    /// Adds a new response. Clients handle an unknown error by its range, but cannot read an unknown successful
    /// response.
    fn add_new_response(&mut self, old: &[Response], response: &Response) {
        let was_covered = old
            .iter()
            .any(|known| match (known.status, response.status) {
                (Status::Range(first), Status::Exactly(status)) => first == status / 100,
                (Status::Default, _) => true,
                _ => false,
            });
        let impact = if is_success(response.status) && !was_covered {
            ChangeImpact::Breaking
        } else {
            ChangeImpact::Compatible
        };
        let place = response_place(response.status);
        self.add(impact, &place, "this answer is new");
    }

    fn compare_media(&mut self, at: Position<'_>, old: &[Media], new: &[Media]) {
        for media in old {
            match new.iter().find(|now| now.range == media.range) {
                Some(now) => self.compare_schema_refs(at, &media.schema, &now.schema),
                None if new
                    .iter()
                    .any(|now| now.range.match_rank(&media.range).is_some()) =>
                {
                    let what = format!("{} is covered by a wider range now", media.range);
                    self.add_widened(at, what);
                }
                None => {
                    let what = format!("{} is gone", media.range);
                    self.add(ChangeImpact::Breaking, at.place, what);
                }
            }
        }
        for media in new {
            if !old.iter().any(|before| before.range == media.range) {
                // Clients get another media type only if they ask for it.
                let what = format!("{} is new", media.range);
                self.add(ChangeImpact::Compatible, at.place, what);
            }
        }
    }
}

/// Returns the operations by method and shape of the template, since the names of variables are not on the wire.
fn operations_by_shape(description: &Description) -> BTreeMap<String, &Operation> {
    let operations = description.operations.iter();
    operations
        .map(|operation| (operation_shape(operation), operation))
        .collect()
}

fn operation_shape(operation: &Operation) -> String {
    let (method, path) = operation.name.split_once(' ').unwrap_or(("", ""));
    let shape = Template::parse(path).map(|template| template.shape());
    format!("{method} {}", shape.unwrap_or_default())
}

fn find_response(responses: &[Response], status: Status) -> Option<&Response> {
    responses.iter().find(|response| response.status == status)
}

fn is_success(status: Status) -> bool {
    matches!(status, Status::Exactly(200..=299) | Status::Range(2))
}

fn response_place(status: Status) -> String {
    match status {
        Status::Exactly(status) => format!("answer {status}"),
        Status::Range(first) => format!("answer {first}XX"),
        Status::Default => "answer default".into(),
    }
}
