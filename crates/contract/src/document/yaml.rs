//! Reads YAML 1.2 and records the position of every node. Values that JSON cannot represent are rejected.

use super::append_to_pointer;
use super::syntax::{NodeTable, ParseError, Position, SyntaxError};
use super::yaml_scalar::{check_tag, scalar_value};
use saphyr_parser::{Event, Marker, Parser, ScalarStyle, ScanError, Span, StrInput};
use serde_json::{Map, Value};
use std::collections::HashMap;

/// Parses a text that holds a single YAML document.
pub(super) fn read(text: &str, nodes: &mut NodeTable) -> Result<Value, ParseError> {
    let mut reader = Reader {
        parser: Parser::new_from_str(text),
        anchors: HashMap::new(),
        nodes,
    };
    reader.document()
}

/// The value of an anchor, which aliases repeat.
#[derive(Clone)]
struct AnchoredValue {
    value: Value,
    node_count: usize,
}

struct Reader<'t, 'n> {
    parser: Parser<'t, StrInput<'t>>,
    anchors: HashMap<usize, AnchoredValue>,
    nodes: &'n mut NodeTable,
}

impl<'t> Reader<'t, '_> {
    fn next_event(&mut self) -> Result<(Event<'t>, Span), ParseError> {
        let end = || Ok((Event::StreamEnd, Span::default()));
        self.parser
            .next_event()
            .unwrap_or_else(end)
            .map_err(|error: ScanError| {
                let detail = error.info().to_string();
                let position = position(error.marker());
                ParseError::new(position, "", SyntaxError::InvalidYaml { detail })
            })
    }

    fn document(&mut self) -> Result<Value, ParseError> {
        let mut value = None;
        loop {
            let (event, span) = self.next_event()?;
            let error = match event {
                Event::StreamStart | Event::Nothing | Event::DocumentEnd => continue,
                Event::StreamEnd => break,
                Event::DocumentStart(_) if value.is_none() => {
                    let (event, span) = self.next_event()?;
                    value = Some(self.value(event, span, "", 0)?);
                    continue;
                }
                Event::DocumentStart(_) => SyntaxError::SecondDocument,
                _ => SyntaxError::NotADocument,
            };
            return Err(ParseError::new(position(&span.start), "", error));
        }
        value.ok_or_else(|| ParseError::new(Position::START, "", SyntaxError::Empty))
    }

    /// Reads the value that begins with this event.
    fn value(
        &mut self,
        event: Event<'t>,
        span: Span,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, ParseError> {
        let position = position(&span.start);
        if let Event::Alias(anchor) = event {
            return self.alias(anchor, position, pointer, depth);
        }
        self.nodes.enter(pointer, depth, position)?;
        let count_before = self.nodes.count;
        let fault = |error| ParseError::new(position, pointer, error);
        let (value, anchor) = match event {
            Event::Scalar(text, style, anchor, tag) => {
                let value = scalar_value(&text, style, tag.as_deref()).map_err(fault)?;
                (value, anchor)
            }
            Event::SequenceStart(anchor, tag) => {
                check_tag(tag.as_deref(), "seq").map_err(fault)?;
                (self.sequence(pointer, depth)?, anchor)
            }
            Event::MappingStart(anchor, tag) => {
                check_tag(tag.as_deref(), "map").map_err(fault)?;
                (self.mapping(pointer, depth)?, anchor)
            }
            _ => return Err(fault(SyntaxError::MissingValue)),
        };
        // The parser numbers anchors from 1; 0 means that the node has no anchor.
        if anchor > 0 {
            let anchored = AnchoredValue {
                value: value.clone(),
                node_count: self.nodes.count - count_before + 1,
            };
            self.anchors.insert(anchor, anchored);
        }
        Ok(value)
    }

    /// Returns the value of an anchor. The nodes and the height of the value are counted again, so that aliases cannot
    /// bypass the bounds.
    fn alias(
        &mut self,
        anchor: usize,
        position: Position,
        pointer: &str,
        depth: usize,
    ) -> Result<Value, ParseError> {
        let Some(anchored) = self.anchors.get(&anchor).cloned() else {
            return Err(ParseError::new(
                position,
                pointer,
                SyntaxError::RecursiveAlias,
            ));
        };
        let repeated = anchored.node_count.saturating_sub(1);
        self.nodes.count = self.nodes.count.saturating_add(repeated);
        self.nodes
            .enter(pointer, depth + height(&anchored.value), position)?;
        Ok(anchored.value)
    }

    fn sequence(&mut self, pointer: &str, depth: usize) -> Result<Value, ParseError> {
        let mut items = Vec::new();
        loop {
            let (event, span) = self.next_event()?;
            if event == Event::SequenceEnd {
                return Ok(Value::Array(items));
            }
            let inner = format!("{pointer}/{}", items.len());
            items.push(self.value(event, span, &inner, depth + 1)?);
        }
    }

    fn mapping(&mut self, pointer: &str, depth: usize) -> Result<Value, ParseError> {
        let mut map = Map::new();
        loop {
            let (event, span) = self.next_event()?;
            let key_position = position(&span.start);
            if event == Event::MappingEnd {
                return Ok(Value::Object(map));
            }
            let key = mapping_key(event)
                .map_err(|error| ParseError::new(key_position, pointer, error))?;
            let inner = append_to_pointer(pointer, &key);
            if map.contains_key(&key) {
                let error = SyntaxError::DuplicateKey;
                return Err(ParseError::new(key_position, &inner, error));
            }
            let (event, span) = self.next_event()?;
            let value = self.value(event, span, &inner, depth + 1)?;
            // The position of a member is that of its key, since an editor's user looks for the key.
            self.nodes.positions.insert(inner, key_position);
            map.insert(key, value);
        }
    }
}

fn mapping_key(event: Event) -> Result<String, SyntaxError> {
    match event {
        Event::Scalar(text, ScalarStyle::Plain, ..) if text == "<<" => Err(SyntaxError::MergeKey),
        Event::Scalar(text, ..) => Ok(text.into_owned()),
        _ => Err(SyntaxError::KeyNotScalar),
    }
}

fn position(marker: &Marker) -> Position {
    Position {
        line: marker.line().max(1),
        column: marker.col() + 1,
    }
}

/// Returns the number of levels below a value; 0 for a scalar.
fn height(value: &Value) -> usize {
    match value {
        Value::Object(map) => 1 + map.values().map(height).max().unwrap_or(0),
        Value::Array(items) => 1 + items.iter().map(height).max().unwrap_or(0),
        _ => 0,
    }
}
