//! What changed between two descriptions, and for whom it breaks. A request may ask for less and an answer may hold
//! less variety without harm; the other way round breaks those who rely on the old form.

use crate::model::{
    Description, Kind, Media, Operation, Parameter, ParameterLocation, Response, SchemaSlot, Status,
};
use crate::schema::{clip, Direction};
use crate::sources::{NodeLocation, Sources};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The most changes that are told.
pub const MAX_CHANGES: usize = 1_000;

/// What a change does to those who keep to the old description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeImpact {
    /// What worked may no longer work.
    Breaking,
    /// All that worked still works.
    Compatible,
    /// Nothing on the wire differs.
    Cosmetic,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Change {
    /// What it does.
    pub weight: ChangeImpact,
    /// The operation or message.
    pub operation: String,
    /// Where in the message.
    pub place: String,
    /// What is different.
    pub what: String,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let weight = match self.weight {
            ChangeImpact::Breaking => "breaking",
            ChangeImpact::Compatible => "compatible",
            ChangeImpact::Cosmetic => "cosmetic",
        };
        write!(f, "{weight}: {}", self.operation)?;
        if !self.place.is_empty() {
            write!(f, ", {}", self.place)?;
        }
        write!(f, ": {}", self.what)
    }
}

/// All differences, the breaking ones first.
pub fn diff(old: &Description, new: &Description) -> Result<Vec<Change>, String> {
    if old.kind != new.kind {
        return Err("an OpenAPI and an AsyncAPI description can't be compared".into());
    }
    let mut diff = Diff {
        old,
        new,
        changes: BTreeSet::new(),
        operation: String::new(),
        seen: BTreeSet::new(),
    };
    match old.kind {
        Kind::OpenApi => diff.operations(),
        Kind::AsyncApi => diff.messages(),
    }
    if diff
        .changes
        .iter()
        .all(|change| change.weight == ChangeImpact::Cosmetic)
    {
        let values = |d: &Description| {
            d.sources
                .files()
                .iter()
                .map(|f| f.value.clone())
                .collect::<Vec<_>>()
        };
        if diff.changes.is_empty() && values(old) != values(new) {
            diff.operation = "the description".into();
            diff.add(
                ChangeImpact::Cosmetic,
                "",
                "only texts, names, the order or the arrangement differ".into(),
            );
        }
    }
    Ok(diff.changes.into_iter().collect())
}

/// How the set of values that are right changes.
#[derive(Clone, Copy, PartialEq)]
enum Set {
    /// Fewer are right.
    Narrower,
    /// More are right.
    Wider,
    /// Some are right that were not, and some not that were.
    Other,
}

struct Diff<'d> {
    old: &'d Description,
    new: &'d Description,
    changes: BTreeSet<Change>,
    operation: String,
    /// Pairs of schemas of this operation that are compared already, or are being compared.
    seen: BTreeSet<(NodeLocation, NodeLocation, Direction)>,
}

impl Diff<'_> {
    fn add(&mut self, weight: ChangeImpact, place: &str, what: String) {
        if self.changes.len() < MAX_CHANGES {
            let operation = self.operation.clone();
            self.changes.insert(Change {
                weight,
                operation,
                place: place.into(),
                what,
            });
        }
    }

    fn set(&mut self, direction: Direction, place: &str, change: Set, what: String) {
        let weight = match (direction, change) {
            (Direction::Request, Set::Wider) | (Direction::Response, Set::Narrower) => {
                ChangeImpact::Compatible
            }
            _ => ChangeImpact::Breaking,
        };
        self.add(weight, place, what);
    }

    fn operations(&mut self) {
        let (old, new) = (self.old, self.new);
        // By method and the template's shape: a variable's name is no part of the wire.
        let by_shape = |d: &'_ Description| -> BTreeMap<String, usize> {
            let key = |operation: &Operation| {
                let (method, path) = operation.name.split_once(' ').unwrap_or(("", ""));
                let shape = crate::routing::Template::read(path)
                    .map(|t| t.shape())
                    .unwrap_or_default();
                format!("{method} {shape}")
            };
            d.operations
                .iter()
                .enumerate()
                .map(|(at, operation)| (key(operation), at))
                .collect()
        };
        let (before, after) = (by_shape(old), by_shape(new));
        for (key, &at) in &before {
            self.operation = old.operations[at].name.to_string();
            match after.get(key) {
                None => self.add(ChangeImpact::Breaking, "", "the operation is gone".into()),
                Some(&now) => self.operation(&old.operations[at], &new.operations[now]),
            }
        }
        for (key, &at) in after.iter().filter(|(key, _)| !before.contains_key(*key)) {
            let _ = key;
            self.operation = new.operations[at].name.to_string();
            self.add(ChangeImpact::Compatible, "", "the operation is new".into());
        }
    }

    fn operation(&mut self, old: &Operation, new: &Operation) {
        self.seen.clear();
        if old.name != new.name {
            self.add(
                ChangeImpact::Cosmetic,
                "path",
                format!("a variable's name differs: {}", new.name),
            );
        }
        if old.id != new.id {
            let words = |id: &Option<String>| id.clone().unwrap_or_else(|| "none".into());
            let what = format!(
                "the operation's id was {} and is {}",
                words(&old.id),
                words(&new.id)
            );
            self.add(ChangeImpact::Cosmetic, "", what);
        }
        self.texts("", &old.loc, &new.loc);
        self.parameters(Direction::Request, "", &old.parameters, &new.parameters);
        match (
            old.body.is_empty(),
            new.body.is_empty(),
            old.body_required,
            new.body_required,
        ) {
            (true, false, _, true) => self.add(
                ChangeImpact::Breaking,
                "body",
                "a body is now required".into(),
            ),
            (true, false, _, false) => self.add(
                ChangeImpact::Compatible,
                "body",
                "a body may now be given".into(),
            ),
            (false, true, ..) => self.add(
                ChangeImpact::Breaking,
                "body",
                "no body is described any more".into(),
            ),
            (_, _, false, true) => self.add(
                ChangeImpact::Breaking,
                "body",
                "the body became required".into(),
            ),
            (_, _, true, false) => self.add(
                ChangeImpact::Compatible,
                "body",
                "the body became optional".into(),
            ),
            _ => {}
        }
        if !old.body.is_empty() && !new.body.is_empty() {
            self.media(Direction::Request, "body", &old.body, &new.body);
        }
        let word = |status: Status| match status {
            Status::Exactly(status) => status.to_string(),
            Status::Range(first) => format!("{first}XX"),
            Status::Default => "default".into(),
        };
        let find =
            |all: &'_ [Response], status: Status| all.iter().position(|r| r.status == status);
        for response in &old.responses {
            let place = format!("answer {}", word(response.status));
            match find(&new.responses, response.status) {
                Some(at) => {
                    let new = &new.responses[at];
                    self.texts(&place, &response.loc, &new.loc);
                    self.parameters(Direction::Response, &place, &response.headers, &new.headers);
                    match (response.content.is_empty(), new.content.is_empty()) {
                        (false, true) => {
                            self.add(ChangeImpact::Breaking, &place, "its body is gone".into())
                        }
                        (true, false) => {
                            self.add(ChangeImpact::Compatible, &place, "it has a body now".into())
                        }
                        _ => {
                            self.media(Direction::Response, &place, &response.content, &new.content)
                        }
                    }
                }
                // An answer that is never given any more harms nobody, unless it was the good one.
                None if matches!(
                    response.status,
                    Status::Exactly(200..=299) | Status::Range(2)
                ) =>
                {
                    self.add(ChangeImpact::Breaking, &place, "this answer is gone".into());
                }
                None => self.add(
                    ChangeImpact::Compatible,
                    &place,
                    "this answer is gone".into(),
                ),
            }
        }
        for response in new
            .responses
            .iter()
            .filter(|r| find(&old.responses, r.status).is_none())
        {
            let place = format!("answer {}", word(response.status));
            let covered = old
                .responses
                .iter()
                .any(|o| match (o.status, response.status) {
                    (Status::Range(first), Status::Exactly(status)) => first == status / 100,
                    (Status::Default, _) => true,
                    _ => false,
                });
            // Clients handle an error they don't know as its hundred says; a new good answer they can't read.
            let good = matches!(
                response.status,
                Status::Exactly(200..=299) | Status::Range(2)
            );
            let weight = if good && !covered {
                ChangeImpact::Breaking
            } else {
                ChangeImpact::Compatible
            };
            self.add(weight, &place, "this answer is new".into());
        }
    }

    fn parameters(&mut self, direction: Direction, at: &str, old: &[Parameter], new: &[Parameter]) {
        let key = |parameter: &Parameter| {
            // Fields of a head are the same in small and capital letters.
            let name = match parameter.within {
                ParameterLocation::Header => parameter.name.to_ascii_lowercase(),
                _ => parameter.name.clone(),
            };
            // A path's variables are told apart by their place, not by name.
            (
                parameter.within,
                if parameter.within == ParameterLocation::Path {
                    String::new()
                } else {
                    name
                },
            )
        };
        let place = |parameter: &Parameter| match at.is_empty() {
            true => format!("{} {}", parameter.within.word(), parameter.name),
            false => format!("{at}, {} {}", parameter.within.word(), parameter.name),
        };
        let path = |all: &[Parameter]| {
            let mut all: Vec<Parameter> = all
                .iter()
                .filter(|p| p.within == ParameterLocation::Path)
                .cloned()
                .collect();
            all.sort_by(|a, b| a.name.cmp(&b.name));
            all
        };
        for (old, new) in path(old).iter().zip(&path(new)) {
            self.parameter(direction, &place(old), old, new);
        }
        for parameter in old.iter().filter(|p| p.within != ParameterLocation::Path) {
            match new.iter().find(|p| key(p) == key(parameter)) {
                Some(new) => self.parameter(direction, &place(parameter), parameter, new),
                None if direction == Direction::Response && !parameter.required => {
                    self.add(
                        ChangeImpact::Compatible,
                        &place(parameter),
                        "it is no longer given".into(),
                    );
                }
                None => self.add(
                    ChangeImpact::Breaking,
                    &place(parameter),
                    "it is gone".into(),
                ),
            }
        }
        for parameter in new.iter().filter(|p| p.within != ParameterLocation::Path) {
            if !old.iter().any(|p| key(p) == key(parameter)) {
                let breaks = direction == Direction::Request && parameter.required;
                let weight = if breaks {
                    ChangeImpact::Breaking
                } else {
                    ChangeImpact::Compatible
                };
                let word = if parameter.required {
                    "it is new and required"
                } else {
                    "it is new and optional"
                };
                self.add(weight, &place(parameter), word.into());
            }
        }
    }

    fn parameter(&mut self, direction: Direction, place: &str, old: &Parameter, new: &Parameter) {
        self.texts(place, &old.loc, &new.loc);
        match (old.required, new.required) {
            (false, true) => self.set(direction, place, Set::Narrower, "it became required".into()),
            (true, false) => self.set(direction, place, Set::Wider, "it became optional".into()),
            _ => {}
        }
        if (old.json, old.parted_by) != (new.json, new.parted_by) {
            self.add(
                ChangeImpact::Breaking,
                place,
                "the way in which its value is written differs".into(),
            );
        }
        self.slots(direction, place, &old.slot, &new.slot);
    }

    fn media(&mut self, direction: Direction, place: &str, old: &[Media], new: &[Media]) {
        for media in old {
            match new.iter().find(|m| m.range == media.range) {
                Some(new) => self.slots(direction, place, &media.slot, &new.slot),
                None if new.iter().any(|m| m.range.covers(&media.range).is_some()) => {
                    let what = format!("{} is covered by a wider range now", media.range);
                    self.set(direction, place, Set::Wider, what);
                }
                None => self.add(
                    ChangeImpact::Breaking,
                    place,
                    format!("{} is gone", media.range),
                ),
            }
        }
        for media in new
            .iter()
            .filter(|media| !old.iter().any(|m| m.range == media.range))
        {
            // An answer in another form is only given to those who ask for it.
            self.add(
                ChangeImpact::Compatible,
                place,
                format!("{} is new", media.range),
            );
        }
    }

    fn messages(&mut self) {
        let (old, new) = (self.old, self.new);
        for message in &old.messages {
            self.operation = message.name.to_string();
            self.seen.clear();
            match new.message(&message.channel, &message.word) {
                None => self.add(ChangeImpact::Breaking, "", "the message is gone".into()),
                Some(now) => {
                    if message.direction != now.direction {
                        self.add(ChangeImpact::Breaking, "", "it goes the other way".into());
                    }
                    if message.json != now.json {
                        self.add(
                            ChangeImpact::Breaking,
                            "payload",
                            "its media type differs".into(),
                        );
                    }
                    self.texts("", &message.loc, &now.loc);
                    self.slots(message.direction, "head", &message.headers, &now.headers);
                    self.slots(message.direction, "payload", &message.payload, &now.payload);
                }
            }
        }
        for message in new
            .messages
            .iter()
            .filter(|m| old.message(&m.channel, &m.word).is_none())
        {
            self.operation = message.name.to_string();
            let weight = match message.direction {
                Direction::Request => ChangeImpact::Compatible,
                // Whoever listens is sent what it does not know.
                Direction::Response => ChangeImpact::Breaking,
            };
            self.add(weight, "", "the message is new".into());
        }
    }

    /// Texts for people, and whether anything is marked as outgoing.
    fn texts(&mut self, place: &str, old: &NodeLocation, new: &NodeLocation) {
        let word =
            |d: &Description, loc: &NodeLocation, key: &str| d.sources.get(&loc.at(key)).cloned();
        for key in ["summary", "description", "title"] {
            if word(self.old, old, key) != word(self.new, new, key) {
                self.add(ChangeImpact::Cosmetic, place, format!("its {key} differs"));
            }
        }
        let deprecated = |d: &Description, loc: &NodeLocation| {
            word(d, loc, "deprecated") == Some(Value::Bool(true))
        };
        if !deprecated(self.old, old) && deprecated(self.new, new) {
            self.add(
                ChangeImpact::Compatible,
                place,
                "it is deprecated now".into(),
            );
        }
    }

    fn slots(&mut self, direction: Direction, place: &str, old: &SchemaSlot, new: &SchemaSlot) {
        match (&old.loc, &new.loc) {
            (Some(old), Some(new)) => self.schemas(direction, place, old, new),
            (None, Some(_)) => self.set(
                direction,
                place,
                Set::Narrower,
                "it has a schema now".into(),
            ),
            (Some(_), None) => self.set(direction, place, Set::Wider, "its schema is gone".into()),
            (None, None) => {}
        }
    }

    fn schemas(
        &mut self,
        direction: Direction,
        place: &str,
        old: &NodeLocation,
        new: &NodeLocation,
    ) {
        // A schema that holds itself is compared once, whichever reference leads to it.
        let (old, new) = (&bare(&self.old.sources, old), &bare(&self.new.sources, new));
        if !self.seen.insert((old.clone(), new.clone(), direction)) {
            return;
        }
        let before = View::of(&self.old.sources, old, direction);
        let after = View::of(&self.new.sources, new, direction);
        if before.text != after.text {
            self.add(
                ChangeImpact::Cosmetic,
                place,
                "its texts for people differ".into(),
            );
        }
        let narrower = Set::Narrower;
        let wider = Set::Wider;
        match (&before.types, &after.types) {
            (Some(old), Some(new)) => {
                // A whole number is a number, too.
                let has = |set: &BTreeSet<String>, kind: &str| {
                    set.contains(kind) || kind == "integer" && set.contains("number")
                };
                for kind in old.iter().filter(|kind| !has(new, kind)) {
                    self.set(
                        direction,
                        place,
                        narrower,
                        format!("the type {kind} is gone"),
                    );
                }
                for kind in new.iter().filter(|kind| !has(old, kind)) {
                    self.set(direction, place, wider, format!("the type {kind} is new"));
                }
            }
            (None, Some(new)) => {
                let what = format!("its type is now {}", join(new));
                self.set(direction, place, narrower, what);
            }
            (Some(old), None) => {
                let what = format!("its type is no longer held to {}", join(old));
                self.set(direction, place, wider, what);
            }
            (None, None) => {}
        }
        match (&before.values, &after.values) {
            (Some(old), Some(new)) => {
                for value in old.difference(new) {
                    self.set(
                        direction,
                        place,
                        narrower,
                        format!("the value {} is gone", clip(value)),
                    );
                }
                for value in new.difference(old) {
                    self.set(
                        direction,
                        place,
                        wider,
                        format!("the value {} is new", clip(value)),
                    );
                }
            }
            (None, Some(new)) => {
                let what = format!("only these values now: {}", clip(&join(new)));
                self.set(direction, place, narrower, what);
            }
            (Some(_), None) => self.set(
                direction,
                place,
                wider,
                "any value now, not only those listed".into(),
            ),
            (None, None) => {}
        }
        self.bounds(direction, place, &before, &after);
        self.members(direction, place, &before, &after);
        self.items(direction, place, &before, &after);
        for (word, old, new) in [
            ("oneOf", &before.one_of, &after.one_of),
            ("anyOf", &before.any_of, &after.any_of),
        ] {
            self.forms(direction, place, word, old, new);
        }
        if before.rest != after.rest {
            let keys: BTreeSet<&String> = before.rest.keys().chain(after.rest.keys()).collect();
            for key in keys
                .into_iter()
                .filter(|key| before.rest.get(*key) != after.rest.get(*key))
            {
                self.set(direction, place, Set::Other, format!("its '{key}' differs"));
            }
        }
    }

    fn bounds(&mut self, direction: Direction, place: &str, old: &View, new: &View) {
        let (mut narrower, mut wider) = (Vec::new(), Vec::new());
        let keys: BTreeSet<&&str> = old.least.keys().chain(new.least.keys()).collect();
        for key in keys {
            match (old.least.get(*key), new.least.get(*key)) {
                (Some(a), Some(b)) if b > a => narrower.push(format!("{key} rose from {a} to {b}")),
                (Some(a), Some(b)) if b < a => wider.push(format!("{key} fell from {a} to {b}")),
                (None, Some(b)) => narrower.push(format!("{key} {b} is new")),
                (Some(a), None) => wider.push(format!("{key} {a} is gone")),
                _ => {}
            }
        }
        let keys: BTreeSet<&&str> = old.most.keys().chain(new.most.keys()).collect();
        for key in keys {
            match (old.most.get(*key), new.most.get(*key)) {
                (Some(a), Some(b)) if b < a => narrower.push(format!("{key} fell from {a} to {b}")),
                (Some(a), Some(b)) if b > a => wider.push(format!("{key} rose from {a} to {b}")),
                (None, Some(b)) => narrower.push(format!("{key} {b} is new")),
                (Some(a), None) => wider.push(format!("{key} {a} is gone")),
                _ => {}
            }
        }
        for what in narrower {
            self.set(direction, place, Set::Narrower, what);
        }
        for what in wider {
            self.set(direction, place, Set::Wider, what);
        }
        let keys: BTreeSet<&&str> = old.texts.keys().chain(new.texts.keys()).collect();
        for key in keys {
            match (old.texts.get(*key), new.texts.get(*key)) {
                (Some(a), Some(b)) if a != b => {
                    let what = format!("{key} was {} and is {}", clip(a), clip(b));
                    self.set(direction, place, Set::Other, what);
                }
                (None, Some(b)) => self.set(
                    direction,
                    place,
                    Set::Narrower,
                    format!("{key} {} is new", clip(b)),
                ),
                (Some(a), None) => self.set(
                    direction,
                    place,
                    Set::Wider,
                    format!("{key} {} is gone", clip(a)),
                ),
                _ => {}
            }
        }
    }

    fn members(&mut self, direction: Direction, place: &str, old: &View, new: &View) {
        let at = |name: &str| format!("{place} {name}");
        for name in new.required.difference(&old.required) {
            self.set(
                direction,
                &at(name),
                Set::Narrower,
                "it became required".into(),
            );
        }
        for name in old.required.difference(&new.required) {
            self.set(
                direction,
                &at(name),
                Set::Wider,
                "it became optional".into(),
            );
        }
        for (name, loc) in &old.properties {
            match (new.properties.get(name), direction) {
                (Some(now), _) => self.schemas(direction, &at(name), loc, now),
                (None, Direction::Request) if new.closed => {
                    self.add(
                        ChangeImpact::Breaking,
                        &at(name),
                        "it is no longer taken".into(),
                    );
                }
                (None, Direction::Request) => {
                    self.add(
                        ChangeImpact::Compatible,
                        &at(name),
                        "it is no longer looked at".into(),
                    );
                }
                // One that was required has been told as having become optional.
                (None, Direction::Response) if old.required.contains(name) => {}
                (None, Direction::Response) => self.add(
                    ChangeImpact::Compatible,
                    &at(name),
                    "it is no longer given".into(),
                ),
            }
        }
        for name in new
            .properties
            .keys()
            .filter(|name| !old.properties.contains_key(*name))
        {
            match direction {
                Direction::Response if old.closed => {
                    self.add(
                        ChangeImpact::Breaking,
                        &at(name),
                        "it is new, where no others were to come".into(),
                    );
                }
                _ => self.add(ChangeImpact::Compatible, &at(name), "it is new".into()),
            }
        }
        match (old.closed, new.closed) {
            (false, true) => self.set(
                direction,
                place,
                Set::Narrower,
                "no other members are taken now".into(),
            ),
            (true, false) => self.set(
                direction,
                place,
                Set::Wider,
                "other members may come now".into(),
            ),
            _ => {}
        }
        match (&old.others, &new.others) {
            (Some(a), Some(b)) => self.schemas(direction, &at("*"), a, b),
            (None, Some(_)) if !old.closed => {
                self.set(
                    direction,
                    &at("*"),
                    Set::Narrower,
                    "other members are held to a schema now".into(),
                );
            }
            (Some(_), None) if !new.closed => {
                self.set(
                    direction,
                    &at("*"),
                    Set::Wider,
                    "other members are held to no schema now".into(),
                );
            }
            _ => {}
        }
    }

    fn items(&mut self, direction: Direction, place: &str, old: &View, new: &View) {
        let inner = format!("{place} []");
        match (&old.items, &new.items) {
            (Some(a), Some(b)) => self.schemas(direction, &inner, a, b),
            (None, Some(_)) => self.set(
                direction,
                &inner,
                Set::Narrower,
                "items are held to a schema now".into(),
            ),
            (Some(_), None) => self.set(
                direction,
                &inner,
                Set::Wider,
                "items are held to no schema now".into(),
            ),
            (None, None) => {}
        }
        for (a, b) in old.first_items.iter().zip(&new.first_items) {
            self.schemas(direction, &inner, a, b);
        }
        if old.first_items.len() != new.first_items.len() {
            self.set(
                direction,
                &inner,
                Set::Other,
                "the number of first items differs".into(),
            );
        }
    }

    /// Alternatives: those that are the same pair up wherever they stand, the others in their order.
    fn forms(
        &mut self,
        direction: Direction,
        place: &str,
        word: &str,
        old: &[NodeLocation],
        new: &[NodeLocation],
    ) {
        if old.is_empty() != new.is_empty() {
            let change = if old.is_empty() {
                Set::Narrower
            } else {
                Set::Wider
            };
            return self.set(
                direction,
                place,
                change,
                format!("{word} is {}", if old.is_empty() { "new" } else { "gone" }),
            );
        }
        let value = |d: &Description, loc: &NodeLocation| d.sources.get(loc).cloned();
        let mut rest: Vec<&NodeLocation> = new.iter().collect();
        let mut unpaired = Vec::new();
        for loc in old {
            let same = rest
                .iter()
                .position(|other| value(self.old, loc) == value(self.new, other));
            match same {
                Some(at) => self.schemas(direction, place, loc, rest.remove(at)),
                None => unpaired.push(loc),
            }
        }
        let paired = unpaired.len().min(rest.len());
        for (a, b) in unpaired.iter().zip(&rest) {
            self.schemas(direction, place, a, b);
        }
        for _ in &unpaired[paired..] {
            self.set(
                direction,
                place,
                Set::Narrower,
                format!("a form of its {word} is gone"),
            );
        }
        for _ in &rest[paired..] {
            self.set(
                direction,
                place,
                Set::Wider,
                format!("a form of its {word} is new"),
            );
        }
    }
}

/// What a reference without siblings leads to; anything else itself.
fn bare(sources: &Sources, loc: &NodeLocation) -> NodeLocation {
    let alone = sources
        .get(loc)
        .and_then(Value::as_object)
        .is_some_and(|map| map.len() == 1);
    match sources
        .reference(loc)
        .filter(|_| alone)
        .and_then(|_| sources.target(loc))
    {
        Some(target) => target,
        None => loc.clone(),
    }
}

fn join(set: &BTreeSet<String>) -> String {
    set.iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}

/// What a schema asks for, `allOf` and references worked in, 3.0's words in 3.1's.
#[derive(Default)]
struct View {
    types: Option<BTreeSet<String>>,
    values: Option<BTreeSet<String>>,
    required: BTreeSet<String>,
    properties: BTreeMap<String, NodeLocation>,
    closed: bool,
    others: Option<NodeLocation>,
    items: Option<NodeLocation>,
    first_items: Vec<NodeLocation>,
    one_of: Vec<NodeLocation>,
    any_of: Vec<NodeLocation>,
    /// Lower and upper bounds.
    least: BTreeMap<&'static str, f64>,
    most: BTreeMap<&'static str, f64>,
    texts: BTreeMap<&'static str, String>,
    /// Keywords that are only compared as they stand.
    rest: BTreeMap<String, Value>,
    /// Texts for people.
    text: BTreeMap<&'static str, Value>,
}

/// How deep `allOf` is worked in.
const MAX_ALL_OF_DEPTH: usize = 32;

impl View {
    fn of(sources: &Sources, loc: &NodeLocation, direction: Direction) -> View {
        let mut view = View::default();
        view.take(sources, loc, direction, 0);
        view
    }

    fn take(&mut self, sources: &Sources, loc: &NodeLocation, direction: Direction, depth: usize) {
        let reference = sources.reference(loc).is_some();
        let Some(map) = sources.get(loc).and_then(Value::as_object) else {
            return;
        };
        if depth > MAX_ALL_OF_DEPTH {
            return;
        }
        if reference {
            // A reference with siblings is read as both.
            if let Some(target) = sources.target(loc) {
                self.take(sources, &target, direction, depth + 1);
            }
        }
        self.take_words(map);
        let skipped = match direction {
            Direction::Request => "readOnly",
            Direction::Response => "writeOnly",
        };
        let properties = map.get("properties").and_then(Value::as_object);
        let goes = |name: &str| {
            properties
                .and_then(|p| p.get(name))
                .is_none_or(|member| member[skipped] != Value::Bool(true))
        };
        for name in map
            .get("required")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            self.required
                .extend(name.as_str().filter(|name| goes(name)).map(str::to_string));
        }
        for name in properties.into_iter().flatten().map(|(name, _)| name) {
            self.properties
                .insert(name.clone(), loc.at("properties").at(name));
        }
        match map.get("additionalProperties") {
            Some(Value::Bool(false)) => self.closed = true,
            Some(Value::Object(_)) => self.others = Some(loc.at("additionalProperties")),
            _ => {}
        }
        match map.get("items") {
            Some(Value::Array(list)) => {
                self.first_items
                    .extend((0..list.len()).map(|at| loc.at("items").item(at)));
            }
            Some(_) => self.items = Some(loc.at("items")),
            None => {}
        }
        let list = |key: &str| map.get(key).and_then(Value::as_array).map_or(0, Vec::len);
        self.first_items
            .extend((0..list("prefixItems")).map(|at| loc.at("prefixItems").item(at)));
        self.one_of
            .extend((0..list("oneOf")).map(|at| loc.at("oneOf").item(at)));
        self.any_of
            .extend((0..list("anyOf")).map(|at| loc.at("anyOf").item(at)));
        for at in 0..list("allOf") {
            self.take(sources, &loc.at("allOf").item(at), direction, depth + 1);
        }
    }

    fn take_words(&mut self, map: &Map<String, Value>) {
        let nullable = map.get("nullable") == Some(&Value::Bool(true));
        let kinds: Option<BTreeSet<String>> = match map.get("type") {
            Some(Value::String(one)) => Some([one.clone()].into()),
            Some(Value::Array(many)) => Some(
                many.iter()
                    .filter_map(|v| Some(v.as_str()?.to_string()))
                    .collect(),
            ),
            _ => None,
        };
        if let Some(mut kinds) = kinds {
            if nullable {
                kinds.insert("null".into());
            }
            self.types = Some(match self.types.take() {
                Some(before) => before.intersection(&kinds).cloned().collect(),
                None => kinds,
            });
        }
        let listed = map.get("enum").and_then(Value::as_array).cloned();
        let listed = listed.or_else(|| map.get("const").map(|value| vec![value.clone()]));
        if let Some(listed) = listed {
            let listed: BTreeSet<String> = listed.iter().map(Value::to_string).collect();
            self.values = Some(match self.values.take() {
                Some(before) => before.intersection(&listed).cloned().collect(),
                None => listed,
            });
        }
        let number = |key: &str| map.get(key).and_then(Value::as_f64);
        let strict = |key: &str| map.get(key) == Some(&Value::Bool(true));
        for (key, exclusive) in [
            ("minimum", "exclusiveMinimum"),
            ("maximum", "exclusiveMaximum"),
        ] {
            let side = if key == "minimum" {
                &mut self.least
            } else {
                &mut self.most
            };
            let name = if strict(exclusive) { exclusive } else { key };
            side.extend(number(key).map(|value| (name, value)));
            side.extend(number(exclusive).map(|value| (exclusive, value)));
        }
        for key in ["minLength", "minItems", "minProperties", "minContains"] {
            self.least.extend(number(key).map(|value| (key, value)));
        }
        for key in ["maxLength", "maxItems", "maxProperties", "maxContains"] {
            self.most.extend(number(key).map(|value| (key, value)));
        }
        for key in ["pattern", "format", "contentEncoding", "contentMediaType"] {
            self.texts.extend(
                map.get(key)
                    .and_then(Value::as_str)
                    .map(|text| (key, text.to_string())),
            );
        }
        for key in [
            "description",
            "title",
            "example",
            "examples",
            "summary",
            "$comment",
        ] {
            self.text
                .extend(map.get(key).map(|value| (key, value.clone())));
        }
        let compared = [
            "not",
            "if",
            "then",
            "else",
            "multipleOf",
            "uniqueItems",
            "contains",
            "patternProperties",
            "propertyNames",
            "dependentRequired",
            "dependentSchemas",
            "dependencies",
            "unevaluatedProperties",
            "unevaluatedItems",
            "additionalItems",
        ];
        for key in compared {
            self.rest
                .extend(map.get(key).map(|value| (key.to_string(), value.clone())));
        }
    }
}
