//! Reads JSON and records the position of every node. Duplicate keys, which `serde_json` alone accepts, are faults.

use super::append_to_pointer;
use super::syntax::{NodeTable, ParseError, Position, SyntaxError};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

/// Parses a JSON text and records its nodes.
pub(super) fn read(text: &str, nodes: &mut NodeTable) -> Result<Value, ParseError> {
    let root: &RawValue = serde_json::from_str(text).map_err(document_error)?;
    let mut reader = Reader {
        text,
        line_starts: line_starts(text),
        nodes,
    };
    reader.value(root, "", 0)
}

/// Converts the parser's error. The position is cut from the parser's text, since faults have a field for it.
fn document_error(error: serde_json::Error) -> ParseError {
    let position = Position {
        line: error.line(),
        column: error.column().max(1),
    };
    let text = error.to_string();
    let detail = text.split(" at line ").next().unwrap_or("").to_string();
    ParseError::new(position, "", SyntaxError::InvalidJson { detail })
}

/// Returns the byte offsets at which lines begin.
fn line_starts(text: &str) -> Vec<usize> {
    let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0)
        .chain(newlines.map(|(offset, _)| offset + 1))
        .collect()
}

struct Reader<'t, 'n> {
    text: &'t str,
    line_starts: Vec<usize>,
    nodes: &'n mut NodeTable,
}

impl<'t> Reader<'t, '_> {
    /// Returns the position of `part`, which must be a slice of the text.
    fn position(&self, part: &str) -> Position {
        let offset = (part.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        let line = self.line_starts.partition_point(|&start| start <= offset);
        Position {
            line,
            column: offset - self.line_starts[line - 1] + 1,
        }
    }

    fn value(
        &mut self,
        raw: &'t RawValue,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, ParseError> {
        let text = raw.get();
        let position = self.position(text);
        self.nodes.enter(pointer, depth, position)?;
        let invalid = |error: serde_json::Error| {
            let detail = error.to_string();
            ParseError::new(position, pointer, SyntaxError::InvalidJson { detail })
        };
        match text.as_bytes().first() {
            Some(b'{') => {
                let ObjectMembers(members) = serde_json::from_str(text).map_err(invalid)?;
                self.object(members, pointer, depth)
            }
            Some(b'[') => {
                let ArrayItems(items) = serde_json::from_str(text).map_err(invalid)?;
                self.array(items, pointer, depth)
            }
            _ => serde_json::from_str(text).map_err(invalid),
        }
    }

    fn object(
        &mut self,
        members: Vec<(String, &'t RawValue)>,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, ParseError> {
        let mut map = Map::new();
        for (key, raw) in members {
            let inner = append_to_pointer(pointer, &key);
            if map.contains_key(&key) {
                let position = self.position(raw.get());
                return Err(ParseError::new(position, &inner, SyntaxError::DuplicateKey));
            }
            let value = self.value(raw, &inner, depth + 1)?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }

    fn array(
        &mut self,
        items: Vec<&'t RawValue>,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, ParseError> {
        let mut values = Vec::new();
        for (index, raw) in items.into_iter().enumerate() {
            let inner = format!("{pointer}/{index}");
            values.push(self.value(raw, &inner, depth + 1)?);
        }
        Ok(Value::Array(values))
    }
}

/// The members of an object with the text of their values, including those with a duplicate key.
struct ObjectMembers<'t>(Vec<(String, &'t RawValue)>);

impl<'de: 't, 't> Deserialize<'de> for ObjectMembers<'t> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = ObjectMembers<'de>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(
                self,
                mut map: A,
            ) -> Result<ObjectMembers<'de>, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(ObjectMembers(members))
            }
        }
        deserializer.deserialize_map(Collect)
    }
}

/// The text of each item of an array.
struct ArrayItems<'t>(Vec<&'t RawValue>);

impl<'de: 't, 't> Deserialize<'de> for ArrayItems<'t> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = ArrayItems<'de>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("an array")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ArrayItems<'de>, A::Error> {
                let mut items = Vec::new();
                while let Some(item) = seq.next_element()? {
                    items.push(item);
                }
                Ok(ArrayItems(items))
            }
        }
        deserializer.deserialize_seq(Collect)
    }
}
