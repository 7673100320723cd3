//! Differences between parameters of requests and headers of responses.

use super::{ChangeImpact, Comparison, Position};
use crate::model::{Parameter, ParameterLocation};
use crate::schema::Direction;

impl Comparison<'_> {
    /// Compares parameters; `place` names the response whose headers they are, and is empty for a request.
    pub(super) fn compare_parameters(
        &mut self,
        direction: Direction,
        place: &str,
        old: &[Parameter],
        new: &[Parameter],
    ) {
        // Path variables are identified by their position in the path, for which the order of their sorted names
        // stands in.
        for (old, new) in path_variables(old).into_iter().zip(path_variables(new)) {
            self.compare_parameter(direction, &parameter_place(place, old), old, new);
        }
        for parameter in old.iter().filter(|p| !is_path_variable(p)) {
            let parameter_place = parameter_place(place, parameter);
            match new.iter().find(|now| is_same(now, parameter)) {
                Some(now) => self.compare_parameter(direction, &parameter_place, parameter, now),
                None if direction == Direction::Response && !parameter.required => {
                    let what = "it is no longer given";
                    self.add(ChangeImpact::Compatible, &parameter_place, what);
                }
                None => self.add(ChangeImpact::Breaking, &parameter_place, "it is gone"),
            }
        }
        for parameter in new.iter().filter(|p| !is_path_variable(p)) {
            if !old.iter().any(|before| is_same(before, parameter)) {
                self.add_new_parameter(direction, &parameter_place(place, parameter), parameter);
            }
        }
    }

    fn add_new_parameter(&mut self, direction: Direction, place: &str, parameter: &Parameter) {
        let impact = if direction == Direction::Request && parameter.required {
            ChangeImpact::Breaking
        } else {
            ChangeImpact::Compatible
        };
        let what = if parameter.required {
            "it is new and required"
        } else {
            "it is new and optional"
        };
        self.add(impact, place, what);
    }

    fn compare_parameter(
        &mut self,
        direction: Direction,
        place: &str,
        old: &Parameter,
        new: &Parameter,
    ) {
        let at = Position { direction, place };
        self.compare_annotations(place, &old.node, &new.node);
        match (old.required, new.required) {
            (false, true) => self.add_narrowed(at, "it became required"),
            (true, false) => self.add_widened(at, "it became optional"),
            _ => {}
        }
        if (old.is_json, old.list_separator) != (new.is_json, new.list_separator) {
            let what = "the way in which its value is written differs";
            self.add(ChangeImpact::Breaking, place, what);
        }
        self.compare_schema_refs(at, &old.schema, &new.schema);
    }
}

fn is_path_variable(parameter: &Parameter) -> bool {
    parameter.location == ParameterLocation::Path
}

fn path_variables(parameters: &[Parameter]) -> Vec<&Parameter> {
    let mut variables: Vec<&Parameter> = parameters
        .iter()
        .filter(|parameter| is_path_variable(parameter))
        .collect();
    variables.sort_by(|a, b| a.name.cmp(&b.name));
    variables
}

/// Returns whether two parameters outside the path are the same. Header names are compared without regard to case.
fn is_same(a: &Parameter, b: &Parameter) -> bool {
    let has_same_name = match a.location {
        ParameterLocation::Header => a.name.eq_ignore_ascii_case(&b.name),
        _ => a.name == b.name,
    };
    a.location == b.location && has_same_name
}

fn parameter_place(place: &str, parameter: &Parameter) -> String {
    let location = parameter.location.as_str();
    if place.is_empty() {
        format!("{location} {}", parameter.name)
    } else {
        format!("{place}, {location} {}", parameter.name)
    }
}
