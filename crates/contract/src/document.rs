//! JSON and YAML as one tree of values with the place of every node, within bounds on size, depth and number of
//! nodes. A description may come from anywhere: it must not cost more than these bounds allow.

use crate::fault::Fault;
use saphyr_parser::{Event, Marker, Parser, ScalarStyle, ScanError, Span, Tag};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Number, Value};
use std::collections::HashMap;

/// The largest file that is read, in bytes. Descriptions of large public interfaces have a few MB.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;
/// How deep values may nest. Deeper ones would cost stack in every later walk.
pub const MAX_DEPTH: usize = 64;
/// The most nodes of a file, those that aliases repeat included: a few lines of aliases can stand for billions.
pub const MAX_NODES: usize = 200_000;

/// A file, read.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its name, relative to the description's folder.
    pub name: String,
    /// What it holds.
    pub value: Value,
    places: HashMap<String, (usize, usize)>,
}

impl Document {
    /// Reads a file's text. `.json` is read as JSON, `.yaml` and `.yml` as YAML; any other name as JSON if the text
    /// begins with a brace.
    pub fn read(name: &str, bytes: &[u8]) -> Result<Document, Fault> {
        let fault = |line, column, pointer: &str, cause: String| Fault {
            file: name.into(),
            line,
            column,
            pointer: pointer.into(),
            cause,
        };
        if bytes.len() > MAX_BYTES {
            return Err(fault(
                0,
                0,
                "",
                format!("the file has {} bytes: {MAX_BYTES} at most", bytes.len()),
            ));
        }
        let text = std::str::from_utf8(bytes).map_err(|e| {
            let line = bytes[..e.valid_up_to()]
                .iter()
                .filter(|&&b| b == b'\n')
                .count()
                + 1;
            fault(line, 1, "", "the file is not UTF-8 text".into())
        })?;
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let ending = name.rsplit('.').next().unwrap_or("");
        let json = match ending {
            "json" => true,
            "yaml" | "yml" => false,
            _ => text.trim_start().starts_with('{'),
        };
        let mut reader = Reader {
            text,
            nodes: 0,
            places: HashMap::new(),
            lines: line_starts(text),
        };
        let read = if json { reader.json() } else { reader.yaml() };
        match read {
            Ok(value) => Ok(Document {
                name: name.into(),
                value,
                places: reader.places,
            }),
            Err(Bad {
                line,
                column,
                pointer,
                cause,
            }) => Err(fault(line, column, &pointer, cause)),
        }
    }

    /// Line and column of a node, or of the nearest one around it that has a place.
    pub fn place(&self, pointer: &str) -> (usize, usize) {
        let mut pointer = pointer;
        loop {
            if let Some(place) = self.places.get(pointer) {
                return *place;
            }
            match pointer.rfind('/') {
                Some(at) => pointer = &pointer[..at],
                None => return (1, 1),
            }
        }
    }

    pub(crate) fn slim(&mut self) {
        self.value = Value::Null;
        self.places = HashMap::new();
    }

    /// A fault at a node.
    pub fn fault(&self, pointer: &str, cause: impl Into<String>) -> Fault {
        let (line, column) = self.place(pointer);
        Fault {
            file: self.name.clone(),
            line,
            column,
            pointer: pointer.into(),
            cause: cause.into(),
        }
    }
}

/// A pointer's next step.
pub fn step(pointer: &str, key: &str) -> String {
    let mut out = String::with_capacity(pointer.len() + 1 + key.len());
    out.push_str(pointer);
    out.push('/');
    for c in key.chars() {
        match c {
            '~' => out.push_str("~0"),
            '/' => out.push_str("~1"),
            c => out.push(c),
        }
    }
    out
}

struct Bad {
    line: usize,
    column: usize,
    pointer: String,
    cause: String,
}

fn line_starts(text: &str) -> Vec<usize> {
    std::iter::once(0)
        .chain(
            text.bytes()
                .enumerate()
                .filter(|(_, b)| *b == b'\n')
                .map(|(at, _)| at + 1),
        )
        .collect()
}

struct Reader<'t> {
    text: &'t str,
    nodes: usize,
    places: HashMap<String, (usize, usize)>,
    lines: Vec<usize>,
}

/// An object's members as they stand in the text, doubles included.
struct Members<'t>(Vec<(String, &'t RawValue)>);

impl<'de: 't, 't> Deserialize<'de> for Members<'t> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = Members<'de>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'de>, A::Error> {
                let mut all = Vec::new();
                while let Some(pair) = map.next_entry()? {
                    all.push(pair);
                }
                Ok(Members(all))
            }
        }
        deserializer.deserialize_map(Collect)
    }
}

/// An array's items as they stand in the text.
struct Items<'t>(Vec<&'t RawValue>);

impl<'de: 't, 't> Deserialize<'de> for Items<'t> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = Items<'de>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("an array")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Items<'de>, A::Error> {
                let mut all = Vec::new();
                while let Some(item) = seq.next_element()? {
                    all.push(item);
                }
                Ok(Items(all))
            }
        }
        deserializer.deserialize_seq(Collect)
    }
}

impl<'t> Reader<'t> {
    /// Counts a node and notes its place; an error where a bound is passed.
    fn enter(&mut self, pointer: &str, depth: usize, place: (usize, usize)) -> Result<(), Bad> {
        self.nodes += 1;
        let cause = if depth > MAX_DEPTH {
            format!("values nest deeper than {MAX_DEPTH} levels")
        } else if self.nodes > MAX_NODES {
            format!("there are more than {MAX_NODES} values")
        } else {
            self.places.insert(pointer.into(), place);
            return Ok(());
        };
        Err(Bad {
            line: place.0,
            column: place.1,
            pointer: pointer.into(),
            cause,
        })
    }

    fn at(&self, raw: &str) -> (usize, usize) {
        let offset = (raw.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        let line = self.lines.partition_point(|&start| start <= offset);
        (line, offset - self.lines[line - 1] + 1)
    }

    fn json(&mut self) -> Result<Value, Bad> {
        let raw: &'t RawValue = serde_json::from_str(self.text).map_err(|e| {
            let cause = e.to_string();
            let cause = cause.split(" at line ").next().unwrap_or("").to_string();
            let (line, column) = (e.line(), e.column().max(1));
            Bad {
                line,
                column,
                pointer: String::new(),
                cause: format!("this is no JSON: {cause}"),
            }
        })?;
        self.json_value(raw, "", 0)
    }

    fn json_value(&mut self, raw: &'t RawValue, pointer: &str, depth: usize) -> Result<Value, Bad> {
        let (text, place) = (raw.get(), self.at(raw.get()));
        self.enter(pointer, depth, place)?;
        let bad = |e: serde_json::Error| Bad {
            line: place.0,
            column: place.1,
            pointer: pointer.into(),
            cause: format!("this is no JSON: {e}"),
        };
        match text.as_bytes().first() {
            Some(b'{') => {
                let Members(members) = serde_json::from_str(text).map_err(bad)?;
                let mut map = Map::new();
                for (key, raw) in members {
                    let inner = step(pointer, &key);
                    if map.contains_key(&key) {
                        let (line, column) = self.at(raw.get());
                        return Err(Bad {
                            line,
                            column,
                            pointer: inner,
                            cause: "this key is there twice".into(),
                        });
                    }
                    let value = self.json_value(raw, &inner, depth + 1)?;
                    map.insert(key, value);
                }
                Ok(Value::Object(map))
            }
            Some(b'[') => {
                let Items(items) = serde_json::from_str(text).map_err(bad)?;
                let items = items.into_iter().enumerate();
                let read = |(at, raw)| self.json_value(raw, &format!("{pointer}/{at}"), depth + 1);
                Ok(Value::Array(items.map(read).collect::<Result<_, _>>()?))
            }
            _ => serde_json::from_str(text).map_err(bad),
        }
    }

    fn yaml(&mut self) -> Result<Value, Bad> {
        let mut events = Events {
            parser: Parser::new_from_str(self.text),
            anchors: HashMap::new(),
        };
        let mut value = None;
        loop {
            let (event, span) = events.next()?;
            match event {
                Event::StreamStart | Event::Nothing | Event::DocumentEnd => {}
                Event::StreamEnd => break,
                Event::DocumentStart(_) if value.is_some() => {
                    return Err(bad_at(
                        &span.start,
                        "",
                        "there is a second document in this file",
                    ));
                }
                Event::DocumentStart(_) => {
                    let (event, span) = events.next()?;
                    value = Some(self.yaml_value(&mut events, event, span, "", 0)?);
                }
                _ => return Err(bad_at(&span.start, "", "this is no YAML document")),
            }
        }
        value.ok_or(Bad {
            line: 1,
            column: 1,
            pointer: String::new(),
            cause: "the file is empty".into(),
        })
    }

    fn yaml_value(
        &mut self,
        events: &mut Events<'t>,
        event: Event<'t>,
        span: Span,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, Bad> {
        let place = place(&span.start);
        if let Event::Alias(id) = event {
            let known = events.anchors.get(&id).cloned();
            let unknown = || {
                bad_at(
                    &span.start,
                    pointer,
                    "an alias stands inside of what it repeats",
                )
            };
            let (value, nodes) = known.ok_or_else(unknown)?;
            self.nodes = self.nodes.saturating_add(nodes.saturating_sub(1));
            self.enter(pointer, depth + height(&value), place)?;
            return Ok(value);
        }
        self.enter(pointer, depth, place)?;
        let before = self.nodes;
        let (value, anchor) = match event {
            Event::Scalar(text, style, anchor, tag) => {
                let value = scalar(
                    &text,
                    style,
                    tag.as_deref()
                        .map(|tag| (tag.handle.as_str(), tag.suffix.as_str())),
                );
                (
                    value.map_err(|error| bad_at(&span.start, pointer, &error.to_string()))?,
                    anchor,
                )
            }
            Event::SequenceStart(anchor, tag) => {
                known_tag(tag.as_deref(), "seq")
                    .map_err(|error| bad_at(&span.start, pointer, &error.to_string()))?;
                let mut items = Vec::new();
                loop {
                    let (event, span) = events.next()?;
                    if event == Event::SequenceEnd {
                        break;
                    }
                    let inner = format!("{pointer}/{}", items.len());
                    items.push(self.yaml_value(events, event, span, &inner, depth + 1)?);
                }
                (Value::Array(items), anchor)
            }
            Event::MappingStart(anchor, tag) => {
                known_tag(tag.as_deref(), "map")
                    .map_err(|error| bad_at(&span.start, pointer, &error.to_string()))?;
                let mut map = Map::new();
                loop {
                    let (event, span) = events.next()?;
                    let key = match event {
                        Event::MappingEnd => break,
                        Event::Scalar(text, ScalarStyle::Plain, ..) if text == "<<" => {
                            let cause =
                                "merge keys are not part of YAML 1.2: write the members out, or use $ref";
                            return Err(bad_at(&span.start, pointer, cause));
                        }
                        Event::Scalar(text, ..) => text.into_owned(),
                        _ => {
                            return Err(bad_at(&span.start, pointer, "a key must be a plain word"))
                        }
                    };
                    let inner = step(pointer, &key);
                    if map.contains_key(&key) {
                        return Err(bad_at(&span.start, &inner, "this key is there twice"));
                    }
                    let (event, value_span) = events.next()?;
                    let value = self.yaml_value(events, event, value_span, &inner, depth + 1)?;
                    // A member is found by its key, as a reader would look for it.
                    self.places.insert(inner, self::place(&span.start));
                    map.insert(key, value);
                }
                (Value::Object(map), anchor)
            }
            _ => return Err(bad_at(&span.start, pointer, "a value is missing")),
        };
        if anchor > 0 {
            events
                .anchors
                .insert(anchor, (value.clone(), self.nodes - before + 1));
        }
        Ok(value)
    }
}

struct Events<'t> {
    parser: Parser<'t, saphyr_parser::StrInput<'t>>,
    /// What each anchor names, and of how many nodes it is.
    anchors: HashMap<usize, (Value, usize)>,
}

impl<'t> Events<'t> {
    fn next(&mut self) -> Result<(Event<'t>, Span), Bad> {
        let end = || Ok((Event::StreamEnd, Span::default()));
        self.parser
            .next_event()
            .unwrap_or_else(end)
            .map_err(|e: ScanError| {
                bad_at(e.marker(), "", &format!("this is no YAML: {}", e.info()))
            })
    }
}

fn place(marker: &Marker) -> (usize, usize) {
    (marker.line().max(1), marker.col() + 1)
}

fn bad_at(marker: &Marker, pointer: &str, cause: &str) -> Bad {
    let (line, column) = place(marker);
    Bad {
        line,
        column,
        pointer: pointer.into(),
        cause: cause.into(),
    }
}

fn height(value: &Value) -> usize {
    match value {
        Value::Object(map) => 1 + map.values().map(height).max().unwrap_or(0),
        Value::Array(items) => 1 + items.iter().map(height).max().unwrap_or(0),
        _ => 0,
    }
}

/// Why a YAML value has no JSON form.
#[derive(Debug, thiserror::Error)]
enum ValueError {
    #[error("the tag {handle}{suffix} is not read")]
    UnsupportedTag { handle: String, suffix: String },
    #[error("{text} has no equal in JSON")]
    NotInJson { text: String },
}

/// A tag other than the core schema's own asks for a reader's own objects.
fn known_tag(tag: Option<&Tag>, core: &str) -> Result<(), ValueError> {
    match tag {
        Some(tag) if (tag.handle.as_str(), tag.suffix.as_str()) != ("tag:yaml.org,2002:", core) => {
            Err(ValueError::UnsupportedTag {
                handle: tag.handle.clone(),
                suffix: tag.suffix.clone(),
            })
        }
        _ => Ok(()),
    }
}

/// A scalar by YAML 1.2's core schema.
fn scalar(text: &str, style: ScalarStyle, tag: Option<(&str, &str)>) -> Result<Value, ValueError> {
    match tag {
        None => {}
        Some(("tag:yaml.org,2002:", "str")) => return Ok(Value::String(text.into())),
        Some(("tag:yaml.org,2002:", "int" | "float" | "bool" | "null")) => {}
        Some((handle, suffix)) => {
            return Err(ValueError::UnsupportedTag {
                handle: handle.into(),
                suffix: suffix.into(),
            })
        }
    }
    if style != ScalarStyle::Plain {
        return Ok(Value::String(text.into()));
    }
    let number = |value: Option<i64>| value.map(|v| Value::Number(v.into()));
    let digits = text.strip_prefix(['-', '+']).unwrap_or(text);
    let value = match text {
        "" | "~" | "null" | "Null" | "NULL" => Some(Value::Null),
        "true" | "True" | "TRUE" => Some(Value::Bool(true)),
        "false" | "False" | "FALSE" => Some(Value::Bool(false)),
        _ if text.starts_with("0x") => number(i64::from_str_radix(&text[2..], 16).ok()),
        _ if text.starts_with("0o") => number(i64::from_str_radix(&text[2..], 8).ok()),
        _ if !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()) => {
            let whole = text.strip_prefix('+').unwrap_or(text);
            number(whole.parse().ok())
                .or_else(|| Some(Value::Number(Number::from_f64(whole.parse().ok()?)?)))
        }
        _ if matches!(digits, ".inf" | ".Inf" | ".INF" | ".nan" | ".NaN" | ".NAN") => {
            return Err(ValueError::NotInJson { text: text.into() });
        }
        _ if digits
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_digit() || b == b'.')
            && digits.bytes().any(|b| b.is_ascii_digit())
            && digits
                .bytes()
                .all(|b| b.is_ascii_digit() || b".eE+-".contains(&b)) =>
        {
            text.parse::<f64>()
                .ok()
                .and_then(Number::from_f64)
                .map(Value::Number)
        }
        _ => None,
    };
    Ok(value.unwrap_or_else(|| Value::String(text.into())))
}

/// A value as YAML text.
pub fn to_yaml(value: &Value) -> String {
    fn convert(value: &Value) -> saphyr::YamlOwned {
        use saphyr::{ScalarOwned, YamlOwned};
        YamlOwned::Value(match value {
            Value::Null => ScalarOwned::Null,
            Value::Bool(b) => ScalarOwned::Boolean(*b),
            Value::Number(n) => match (n.as_i64(), n.as_f64()) {
                (Some(n), _) => ScalarOwned::Integer(n),
                (None, f) => ScalarOwned::FloatingPoint(f.unwrap_or(0.0).into()),
            },
            Value::String(s) => ScalarOwned::String(s.clone()),
            Value::Array(items) => return YamlOwned::Sequence(items.iter().map(convert).collect()),
            Value::Object(map) => {
                let pair = |(key, value): (&String, &Value)| {
                    (
                        YamlOwned::Value(ScalarOwned::String(key.clone())),
                        convert(value),
                    )
                };
                return YamlOwned::Mapping(map.iter().map(pair).collect());
            }
        })
    }
    let owned = convert(value);
    let mut out = String::new();
    let yaml: saphyr::Yaml = (&owned).into();
    match saphyr::YamlEmitter::new(&mut out).dump(&yaml) {
        Ok(()) => out + "\n",
        // A string takes all that is written to it.
        Err(_) => String::new(),
    }
}
