//! Differences between two schemas.

use super::schema_view::SchemaView;
use super::{ChangeImpact, Comparison, Position};
use crate::schema::{clip, Direction};
use crate::sources::{NodeLocation, Sources};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

impl Comparison<'_> {
    /// Compares two schemas with their subschemas.
    pub(super) fn compare_schemas(
        &mut self,
        at: Position<'_>,
        old: &NodeLocation,
        new: &NodeLocation,
    ) {
        // A recursive schema is compared once, no matter which reference leads to it.
        let old = follow_plain_reference(&self.old.sources, old);
        let new = follow_plain_reference(&self.new.sources, new);
        let pair = (old.clone(), new.clone(), at.direction);
        if !self.compared.insert(pair) {
            return;
        }
        let before = SchemaView::new(&self.old.sources, &old, at.direction);
        let after = SchemaView::new(&self.new.sources, &new, at.direction);
        if before.annotations != after.annotations {
            let what = "its texts for people differ";
            self.add(ChangeImpact::Cosmetic, at.place, what);
        }
        self.compare_types(at, &before, &after);
        self.compare_values(at, &before, &after);
        self.compare_bounds(at, &before, &after);
        self.compare_texts(at, &before, &after);
        self.compare_members(at, &before, &after);
        self.compare_other_members(at, &before, &after);
        self.compare_items(at, &before, &after);
        self.compare_alternatives(at, "oneOf", &before.one_of, &after.one_of);
        self.compare_alternatives(at, "anyOf", &before.any_of, &after.any_of);
        self.compare_uninterpreted(at, &before, &after);
    }

    fn compare_types(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        match (&old.types, &new.types) {
            (Some(old), Some(new)) => {
                for kind in old.iter().filter(|kind| !allows_type(new, kind)) {
                    self.add_narrowed(at, format!("the type {kind} is gone"));
                }
                for kind in new.iter().filter(|kind| !allows_type(old, kind)) {
                    self.add_widened(at, format!("the type {kind} is new"));
                }
            }
            (None, Some(new)) => {
                self.add_narrowed(at, format!("its type is now {}", join(new)));
            }
            (Some(old), None) => {
                self.add_widened(at, format!("its type is no longer held to {}", join(old)));
            }
            (None, None) => {}
        }
    }

    fn compare_values(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        match (&old.values, &new.values) {
            (Some(old), Some(new)) => {
                for value in old.difference(new) {
                    self.add_narrowed(at, format!("the value {} is gone", clip(value)));
                }
                for value in new.difference(old) {
                    self.add_widened(at, format!("the value {} is new", clip(value)));
                }
            }
            (None, Some(new)) => {
                self.add_narrowed(at, format!("only these values now: {}", clip(&join(new))));
            }
            (Some(_), None) => self.add_widened(at, "any value now, not only those listed"),
            (None, None) => {}
        }
    }

    fn compare_bounds(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        let mut narrowed = Vec::new();
        let mut widened = Vec::new();
        for key in keys_of(&old.lower_bounds, &new.lower_bounds) {
            match (old.lower_bounds.get(key), new.lower_bounds.get(key)) {
                (Some(a), Some(b)) if b > a => narrowed.push(format!("{key} rose from {a} to {b}")),
                (Some(a), Some(b)) if b < a => widened.push(format!("{key} fell from {a} to {b}")),
                (None, Some(b)) => narrowed.push(format!("{key} {b} is new")),
                (Some(a), None) => widened.push(format!("{key} {a} is gone")),
                _ => {}
            }
        }
        for key in keys_of(&old.upper_bounds, &new.upper_bounds) {
            match (old.upper_bounds.get(key), new.upper_bounds.get(key)) {
                (Some(a), Some(b)) if b < a => narrowed.push(format!("{key} fell from {a} to {b}")),
                (Some(a), Some(b)) if b > a => widened.push(format!("{key} rose from {a} to {b}")),
                (None, Some(b)) => narrowed.push(format!("{key} {b} is new")),
                (Some(a), None) => widened.push(format!("{key} {a} is gone")),
                _ => {}
            }
        }
        for what in narrowed {
            self.add_narrowed(at, what);
        }
        for what in widened {
            self.add_widened(at, what);
        }
    }

    /// Compares patterns, formats and encodings.
    fn compare_texts(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        for key in keys_of(&old.texts, &new.texts) {
            match (old.texts.get(key), new.texts.get(key)) {
                (Some(a), Some(b)) if a != b => {
                    let what = format!("{key} was {} and is {}", clip(a), clip(b));
                    self.add_replaced(at, what);
                }
                (None, Some(b)) => self.add_narrowed(at, format!("{key} {} is new", clip(b))),
                (Some(a), None) => self.add_widened(at, format!("{key} {} is gone", clip(a))),
                _ => {}
            }
        }
    }

    /// Compares the members of an object that the schemas list.
    fn compare_members(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        for name in new.required.difference(&old.required) {
            let place = member_place(at, name);
            self.add_narrowed(at.inner(&place), "it became required");
        }
        for name in old.required.difference(&new.required) {
            let place = member_place(at, name);
            self.add_widened(at.inner(&place), "it became optional");
        }
        for (name, location) in &old.properties {
            let place = member_place(at, name);
            match new.properties.get(name) {
                Some(now) => self.compare_schemas(at.inner(&place), location, now),
                None => self.add_removed_member(at.inner(&place), name, old, new),
            }
        }
        for name in new.properties.keys() {
            if old.properties.contains_key(name) {
                continue;
            }
            let place = member_place(at, name);
            if at.direction == Direction::Response && old.closed {
                let what = "it is new, where no others were to come";
                self.add(ChangeImpact::Breaking, &place, what);
            } else {
                self.add(ChangeImpact::Compatible, &place, "it is new");
            }
        }
    }

    fn add_removed_member(
        &mut self,
        at: Position<'_>,
        name: &str,
        old: &SchemaView,
        new: &SchemaView,
    ) {
        match at.direction {
            Direction::Request if new.closed => {
                self.add(ChangeImpact::Breaking, at.place, "it is no longer taken");
            }
            Direction::Request => {
                let what = "it is no longer looked at";
                self.add(ChangeImpact::Compatible, at.place, what);
            }
            // A required member was already reported as having become optional.
            Direction::Response if old.required.contains(name) => {}
            Direction::Response => {
                self.add(ChangeImpact::Compatible, at.place, "it is no longer given");
            }
        }
    }

    /// Compares the constraints on members that the schemas do not list.
    fn compare_other_members(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        match (old.closed, new.closed) {
            (false, true) => self.add_narrowed(at, "no other members are taken now"),
            (true, false) => self.add_widened(at, "other members may come now"),
            _ => {}
        }
        let place = member_place(at, "*");
        let inner = at.inner(&place);
        match (&old.others, &new.others) {
            (Some(old), Some(new)) => self.compare_schemas(inner, old, new),
            (None, Some(_)) if !old.closed => {
                self.add_narrowed(inner, "other members are held to a schema now");
            }
            (Some(_), None) if !new.closed => {
                self.add_widened(inner, "other members are held to no schema now");
            }
            _ => {}
        }
    }

    fn compare_items(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        let place = member_place(at, "[]");
        let inner = at.inner(&place);
        match (&old.items, &new.items) {
            (Some(old), Some(new)) => self.compare_schemas(inner, old, new),
            (None, Some(_)) => self.add_narrowed(inner, "items are held to a schema now"),
            (Some(_), None) => self.add_widened(inner, "items are held to no schema now"),
            (None, None) => {}
        }
        for (old, new) in old.first_items.iter().zip(&new.first_items) {
            self.compare_schemas(inner, old, new);
        }
        if old.first_items.len() != new.first_items.len() {
            self.add_replaced(inner, "the number of first items differs");
        }
    }

    /// Compares alternatives. Equal alternatives are paired regardless of their order, the others in order.
    fn compare_alternatives(
        &mut self,
        at: Position<'_>,
        keyword: &str,
        old: &[NodeLocation],
        new: &[NodeLocation],
    ) {
        match (old.is_empty(), new.is_empty()) {
            (true, false) => return self.add_narrowed(at, format!("{keyword} is new")),
            (false, true) => return self.add_widened(at, format!("{keyword} is gone")),
            _ => {}
        }
        let mut rest: Vec<&NodeLocation> = new.iter().collect();
        let mut unpaired = Vec::new();
        for location in old {
            let value = self.old.sources.get(location);
            let equal = rest
                .iter()
                .position(|other| value == self.new.sources.get(other));
            match equal {
                Some(index) => self.compare_schemas(at, location, rest.remove(index)),
                None => unpaired.push(location),
            }
        }
        for (old, new) in unpaired.iter().zip(&rest) {
            self.compare_schemas(at, old, new);
        }
        if unpaired.len() > rest.len() {
            self.add_narrowed(at, format!("a form of its {keyword} is gone"));
        }
        if rest.len() > unpaired.len() {
            self.add_widened(at, format!("a form of its {keyword} is new"));
        }
    }

    /// Compares keywords whose effect on the valid values is not evaluated.
    fn compare_uninterpreted(&mut self, at: Position<'_>, old: &SchemaView, new: &SchemaView) {
        for key in keys_of(&old.uninterpreted, &new.uninterpreted) {
            if old.uninterpreted.get(key) != new.uninterpreted.get(key) {
                self.add_replaced(at, format!("its '{key}' differs"));
            }
        }
    }
}

impl<'p> Position<'p> {
    /// Returns a nested place in the same direction.
    fn inner(self, place: &'p str) -> Position<'p> {
        Position { place, ..self }
    }
}

fn member_place(at: Position<'_>, name: &str) -> String {
    format!("{} {name}", at.place)
}

/// Returns whether a list of types allows a type. `number` allows `integer`, too.
fn allows_type(types: &BTreeSet<String>, kind: &str) -> bool {
    types.contains(kind) || kind == "integer" && types.contains("number")
}

fn keys_of<'k, V>(old: &BTreeMap<&'k str, V>, new: &BTreeMap<&'k str, V>) -> BTreeSet<&'k str> {
    old.keys().chain(new.keys()).copied().collect()
}

fn join(set: &BTreeSet<String>) -> String {
    let texts: Vec<&str> = set.iter().map(String::as_str).collect();
    texts.join(", ")
}

/// Returns the target of a reference without siblings, or the node itself if it is anything else.
fn follow_plain_reference(sources: &Sources, location: &NodeLocation) -> NodeLocation {
    let is_plain = sources
        .get(location)
        .and_then(Value::as_object)
        .is_some_and(|map| map.len() == 1);
    if is_plain && sources.reference(location).is_some() {
        if let Some(target) = sources.target(location) {
            return target;
        }
    }
    location.clone()
}
