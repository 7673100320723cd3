//! Parameters of requests and headers of responses in OpenAPI.

use crate::builder::DescriptionBuilder;
use crate::model::{Media, Parameter, ParameterLocation, SchemaSlot};
use crate::schema::Direction;
use crate::sources::NodeLocation;

/// Reads a list of parameters. Each pair of name and location may stand once.
pub(super) fn read_parameters(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
) -> Vec<Parameter> {
    let Some(value) = build.sources.get(loc) else {
        return Vec::new();
    };
    let Some(count) = value.as_array().map(Vec::len) else {
        build.fault(loc, "this must be a list of parameters");
        return Vec::new();
    };
    let mut parameters: Vec<Parameter> = Vec::new();
    for index in 0..count {
        let item = loc.item(index);
        if let Some(parameter) = read_parameter(build, &item, &parameters) {
            parameters.push(parameter);
        }
    }
    parameters
}

/// Reads one parameter of a list, given those before it.
fn read_parameter(
    build: &mut DescriptionBuilder,
    item: &NodeLocation,
    known: &[Parameter],
) -> Option<Parameter> {
    let at = build.sources.resolve(item)?;
    build.object(&at)?;
    build.needs(&at, &["name", "in"]);
    let name = build.text(&at.at("name"));
    let location_name = build.text(&at.at("in"));
    let (name, location_name) = (name?, location_name?);
    let Some(location) = ParameterLocation::read(&location_name) else {
        build.fault(
            &at.at("in"),
            format!("'{location_name}' is none of path, query, header and cookie"),
        );
        return None;
    };
    if known
        .iter()
        .any(|known| known.name == name && known.within == location)
    {
        build.fault(
            item,
            format!("the {location_name} parameter '{name}' is there twice"),
        );
        return None;
    }
    let required = build.flag(&at.at("required"));
    if location == ParameterLocation::Path && !required {
        build.fault(
            &at,
            format!("the path parameter '{name}' must have 'required': true"),
        );
    }
    let direction = Direction::Request;
    let definition = read_definition(build, &at, location, direction);
    Some(definition.into_parameter(name, location, required, at))
}

/// Reads a header of a response.
pub(super) fn read_header(
    build: &mut DescriptionBuilder,
    at: &NodeLocation,
    name: &str,
) -> Parameter {
    let location = ParameterLocation::Header;
    let required = build.flag(&at.at("required"));
    let definition = read_definition(build, at, location, Direction::Response);
    definition.into_parameter(name.to_string(), location, required, at.clone())
}

/// What parameters and headers have in common: how the value is written and its schema.
struct ValueDefinition {
    slot: SchemaSlot,
    /// Whether the value is JSON text.
    json: bool,
    /// Whether the value may be absent (`allowEmptyValue`).
    empty: bool,
    /// The separator of a list's items; `None`: each item is a pair of its own.
    separator: Option<char>,
}

impl ValueDefinition {
    fn into_parameter(
        self,
        name: String,
        location: ParameterLocation,
        required: bool,
        loc: NodeLocation,
    ) -> Parameter {
        Parameter {
            name,
            within: location,
            required,
            loc,
            slot: self.slot,
            json: self.json,
            empty: self.empty,
            parted_by: self.separator,
        }
    }
}

fn read_definition(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    location: ParameterLocation,
    direction: Direction,
) -> ValueDefinition {
    let has_schema = build.sources.get(&loc.at("schema")).is_some();
    let has_content = build.sources.get(&loc.at("content")).is_some();
    if has_schema == has_content {
        let cause = if has_schema {
            "'schema' and 'content' exclude each other"
        } else {
            "'schema' or 'content' is missing"
        };
        build.fault(loc, cause);
    }
    let (style, separator) = read_style(build, loc, location);
    let mut slot = SchemaSlot::default();
    let mut json = false;
    if has_schema {
        slot = build.slot(&loc.at("schema"), direction);
    } else if has_content {
        if let Some(media) = read_single_media(build, &loc.at("content"), direction) {
            json = media.range.is_json();
            slot = media.slot;
        }
    }
    // Values of these styles are not taken apart, so only their presence is checked.
    if matches!(style.as_str(), "label" | "matrix" | "deepObject") {
        slot = SchemaSlot::default();
    }
    let empty = location == ParameterLocation::Query && build.flag(&loc.at("allowEmptyValue"));
    ValueDefinition {
        slot,
        json,
        empty,
        separator,
    }
}

/// Reads `content` of a parameter, which must have exactly one media type.
fn read_single_media(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    direction: Direction,
) -> Option<Media> {
    let media = build.content(loc, direction);
    if media.len() != 1 {
        build.fault(loc, "a parameter has exactly one media type");
    }
    media.into_iter().next()
}

/// Reads `style` and `explode`: the style's name, and the separator of a list's items.
fn read_style(
    build: &mut DescriptionBuilder,
    loc: &NodeLocation,
    location: ParameterLocation,
) -> (String, Option<char>) {
    let style = build.text(&loc.at("style"));
    let has_explode = build.sources.get(&loc.at("explode")).is_some();
    let explode = !has_explode || build.flag(&loc.at("explode"));
    let style = style.unwrap_or_else(|| default_style(location).into());
    let styles = styles(location);
    if !styles.contains(&style.as_str()) {
        let cause = format!(
            "'{style}' is no style of a {} parameter: {}",
            location.word(),
            styles.join(", ")
        );
        build.fault(&loc.at("style"), cause);
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
