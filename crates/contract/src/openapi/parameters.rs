//! Reads the parameters of requests and the headers of responses in OpenAPI.

use crate::builder::DescriptionBuilder;
use crate::model::{Media, Parameter, ParameterLocation, SchemaRef};
use crate::schema::Direction;
use crate::sources::NodeLocation;

/// Reads a list of parameters. Two parameters with the same name and location are a fault.
pub(super) fn read_parameters(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
) -> Vec<Parameter> {
    let Some(value) = builder.sources.get(node) else {
        return Vec::new();
    };
    let Some(count) = value.as_array().map(Vec::len) else {
        builder.fault(node, "expected a list of parameters");
        return Vec::new();
    };
    let mut parameters: Vec<Parameter> = Vec::new();
    for index in 0..count {
        let item = node.item(index);
        if let Some(parameter) = read_parameter(builder, &item, &parameters) {
            parameters.push(parameter);
        }
    }
    parameters
}

/// Reads one parameter of a list; `known` holds the parameters before it.
fn read_parameter(
    builder: &mut DescriptionBuilder,
    item: &NodeLocation,
    known: &[Parameter],
) -> Option<Parameter> {
    let at = builder.sources.resolve(item)?;
    builder.object(&at)?;
    builder.require_keys(&at, &["name", "in"]);
    let name = builder.string(&at.at("name"));
    let location_name = builder.string(&at.at("in"));
    let (name, location_name) = (name?, location_name?);
    let Some(location) = ParameterLocation::parse(&location_name) else {
        builder.fault(
            &at.at("in"),
            format!("unknown parameter location '{location_name}': expected path, query, header or cookie"),
        );
        return None;
    };
    if known
        .iter()
        .any(|known| known.name == name && known.location == location)
    {
        builder.fault(
            item,
            format!("duplicate {location_name} parameter '{name}'"),
        );
        return None;
    }
    let required = builder.boolean(&at.at("required"));
    if location == ParameterLocation::Path && !required {
        builder.fault(
            &at,
            format!("the path parameter '{name}' must have 'required': true"),
        );
    }
    let direction = Direction::Request;
    let definition = read_definition(builder, &at, location, direction);
    Some(definition.into_parameter(name, location, required, at))
}

/// Reads a header of a response.
pub(super) fn read_header(
    builder: &mut DescriptionBuilder,
    at: &NodeLocation,
    name: &str,
) -> Parameter {
    let location = ParameterLocation::Header;
    let required = builder.boolean(&at.at("required"));
    let definition = read_definition(builder, at, location, Direction::Response);
    definition.into_parameter(name.to_string(), location, required, at.clone())
}

/// The definition that parameters and headers have in common: the serialization of the value, and its schema.
struct ValueDefinition {
    schema: SchemaRef,
    /// Whether the value is JSON text.
    is_json: bool,
    /// Whether the value may be empty (`allowEmptyValue`).
    allow_empty: bool,
    /// The separator of a list's items; `None` if each item is a name-value pair of its own.
    list_separator: Option<char>,
}

impl ValueDefinition {
    fn into_parameter(
        self,
        name: String,
        location: ParameterLocation,
        required: bool,
        node: NodeLocation,
    ) -> Parameter {
        Parameter {
            name,
            location,
            required,
            node,
            schema: self.schema,
            is_json: self.is_json,
            allow_empty: self.allow_empty,
            list_separator: self.list_separator,
        }
    }
}

fn read_definition(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    location: ParameterLocation,
    direction: Direction,
) -> ValueDefinition {
    let has_schema = builder.sources.get(&node.at("schema")).is_some();
    let has_content = builder.sources.get(&node.at("content")).is_some();
    if has_schema == has_content {
        let cause = if has_schema {
            "'schema' and 'content' exclude each other"
        } else {
            "'schema' or 'content' is missing"
        };
        builder.fault(node, cause);
    }
    let (style, list_separator) = read_style(builder, node, location);
    let mut schema = SchemaRef::default();
    let mut is_json = false;
    if has_schema {
        schema = builder.register_schema(&node.at("schema"), direction);
    } else if has_content {
        if let Some(media) = read_single_media(builder, &node.at("content"), direction) {
            is_json = media.range.is_json();
            schema = media.schema;
        }
    }
    // Values of these styles are not parsed, so only their presence is checked.
    if matches!(style.as_str(), "label" | "matrix" | "deepObject") {
        schema = SchemaRef::default();
    }
    let allow_empty =
        location == ParameterLocation::Query && builder.boolean(&node.at("allowEmptyValue"));
    ValueDefinition {
        schema,
        is_json,
        allow_empty,
        list_separator,
    }
}

/// Reads the `content` of a parameter, which must have exactly one media type.
fn read_single_media(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    direction: Direction,
) -> Option<Media> {
    let media = builder.content(node, direction);
    if media.len() != 1 {
        builder.fault(node, "expected exactly one media type for a parameter");
    }
    media.into_iter().next()
}

/// Reads `style` and `explode`. Returns the style's name and the separator of a list's items.
fn read_style(
    builder: &mut DescriptionBuilder,
    node: &NodeLocation,
    location: ParameterLocation,
) -> (String, Option<char>) {
    let style = builder.string(&node.at("style"));
    let has_explode = builder.sources.get(&node.at("explode")).is_some();
    let explode = !has_explode || builder.boolean(&node.at("explode"));
    let style = style.unwrap_or_else(|| default_style(location).into());
    let styles = styles(location);
    if !styles.contains(&style.as_str()) {
        let cause = format!(
            "unknown style '{style}' of a {} parameter: expected one of {}",
            location.as_str(),
            styles.join(", ")
        );
        builder.fault(&node.at("style"), cause);
    }
    let separator = match style.as_str() {
        "form" if explode => None,
        "spaceDelimited" => Some(' '),
        "pipeDelimited" => Some('|'),
        _ => Some(','),
    };
    (style, separator)
}

fn default_style(location: ParameterLocation) -> &'static str {
    match location {
        ParameterLocation::Query | ParameterLocation::Cookie => "form",
        ParameterLocation::Path | ParameterLocation::Header => "simple",
    }
}

fn styles(location: ParameterLocation) -> &'static [&'static str] {
    match location {
        ParameterLocation::Path => &["simple", "label", "matrix"],
        ParameterLocation::Query => &["form", "spaceDelimited", "pipeDelimited", "deepObject"],
        ParameterLocation::Header => &["simple"],
        ParameterLocation::Cookie => &["form"],
    }
}
