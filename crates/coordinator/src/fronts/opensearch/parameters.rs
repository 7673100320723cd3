//! Parameters of a search, from the query string or from the header lines of an `_msearch`.

use super::duration;
use super::error::QueryError;
use cairnroad_types::Seconds;
use serde_json::Value as Json;

/// Parameters that are accepted and ignored: they control the formatting of the response, or features that do not apply
/// to a single named index.
const IGNORED_PARAMETERS: [&str; 11] = [
    "pretty",
    "human",
    "error_trace",
    "typed_keys",
    "ignore_unavailable",
    "allow_no_indices",
    "expand_wildcards",
    "ccs_minimize_roundtrips",
    "request_cache",
    "max_concurrent_searches",
    "pre_filter_shard_size",
];

/// The parameters of a search from the path, the query string and the header line of an `_msearch`.
#[derive(Clone, Default)]
pub struct SearchParameters {
    /// Name of the index.
    pub index: Option<String>,
    /// The `preference`, which may list shards.
    pub preference: Option<String>,
    /// The shortest of the given time limits.
    pub timeout: Option<Seconds>,
    /// Whether an answer that lacks some shards may be returned.
    pub allow_partial_results: Option<bool>,
    /// Number of merged hits that the response skips.
    pub from: Option<usize>,
    /// Maximum number of hits in the response.
    pub size: Option<usize>,
    /// A query in the syntax of `query_string`.
    pub q: Option<String>,
    /// A boolean, or the number of hits up to which the total is exact.
    pub track_total_hits: Option<Json>,
}

impl SearchParameters {
    /// Parses the query string of a URL.
    pub fn parse(query: &str) -> Result<Self, QueryError> {
        let mut parameters = SearchParameters::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value).ok_or_else(|| QueryError::MalformedParameter(name.into()))?;
            parameters.set(name, value)?;
        }
        Ok(parameters)
    }

    /// Sets one parameter from a query string or a header line.
    pub fn set(&mut self, name: &str, value: String) -> Result<(), QueryError> {
        match name {
            "preference" => self.preference = Some(value),
            "timeout" | "cancel_after_time_interval" => {
                let timeout = duration::parse(name, &value)?;
                duration::limit_to_shorter(&mut self.timeout, timeout);
            }
            "allow_partial_search_results" => {
                self.allow_partial_results = Some(parse_bool(name, &value)?)
            }
            "from" => self.from = Some(parse_number(name, &value)?),
            "size" => self.size = Some(parse_number(name, &value)?),
            "q" => self.q = Some(value),
            "track_total_hits" => {
                let parsed = serde_json::from_str(&value)
                    .ok()
                    .filter(|value: &Json| value.is_boolean() || value.is_u64());
                self.track_total_hits = Some(parsed.ok_or(QueryError::MalformedTrackTotalHits)?);
            }
            "search_type" if value == "query_then_fetch" => {}
            name if IGNORED_PARAMETERS.contains(&name) => {}
            _ => return Err(QueryError::UnsupportedParameter(name.into())),
        }
        Ok(())
    }
}

/// Percent-decodes a component of a URL, with `+` as a space; `None` if the encoding is malformed.
pub fn decode(text: &str) -> Option<String> {
    cairnroad_contract::sources::decode(&text.replace('+', " "))
}

fn parse_bool(name: &str, value: &str) -> Result<bool, QueryError> {
    match value {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        _ => Err(QueryError::NotABoolean(name.into())),
    }
}

fn parse_number(name: &str, value: &str) -> Result<usize, QueryError> {
    value
        .parse()
        .map_err(|_| QueryError::NotAWholeNumber(name.into()))
}
