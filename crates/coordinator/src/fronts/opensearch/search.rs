//! A search: its index, its shards, the window of its hits, and the body that is forwarded to data nodes.

use super::duration;
use super::error::QueryError;
use super::parameters::SearchParameters;
use crate::messages::SearchIndex;
use cairnroad_types::Seconds;
use serde::de::DeserializeOwned;
use serde_json::value::{to_raw_value, RawValue};
use serde_json::{json, Map, Value as Json};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of hits in a response if the client sets no `size`: the API's default.
const DEFAULT_SIZE: usize = 10;
/// Maximum of `from` + `size`: the API's limit.
pub const MAX_RESULT_WINDOW: usize = 10_000;

/// A validated search.
#[derive(Debug)]
pub struct Search {
    /// The index that is searched.
    pub index: SearchIndex,
    /// Shards that the search is sent to, in ascending order.
    pub shards: Vec<u32>,
    /// Number of merged hits that the response skips.
    pub from: usize,
    /// Maximum number of hits in the response.
    pub size: usize,
    /// Time limit set by the client; `None` if it set none.
    pub timeout: Option<Seconds>,
    /// Whether an answer that lacks some shards may be returned.
    pub allow_partial_results: bool,
    /// JSON body that is sent to data nodes.
    pub body: String,
}

impl Search {
    /// Combines the body of a search with its parameters.
    ///
    /// Supported clauses are forwarded to data nodes. Any other clause is an error, because an answer that silently
    /// ignored it would be wrong.
    pub fn parse(
        indices: &[SearchIndex],
        body: &[u8],
        parameters: SearchParameters,
    ) -> Result<Search, QueryError> {
        let index = find_index(indices, parameters.index.as_deref())?;
        let shards = requested_shards(&index, parameters.preference.as_deref())?;
        let mut clauses = Clauses::from_parameters(&parameters);
        clauses.read_body(body)?;
        clauses.add_query_string(parameters.q)?;
        let from = clauses.from.unwrap_or(0);
        let size = clauses.size.unwrap_or(DEFAULT_SIZE);
        let window = from
            .checked_add(size)
            .filter(|&window| window <= MAX_RESULT_WINDOW)
            .ok_or(QueryError::WindowTooLarge)?;
        if clauses.timeout.is_some_and(|timeout| timeout <= 0.0) {
            return Err(QueryError::TimeoutNotPositive);
        }
        Ok(Search {
            index,
            shards,
            from,
            size,
            timeout: clauses.timeout,
            allow_partial_results: parameters.allow_partial_results.unwrap_or(true),
            body: clauses.into_body(window),
        })
    }
}

/// The clauses of a search. Parameters take precedence over the body, except that the shorter time limit applies.
struct Clauses {
    from: Option<usize>,
    size: Option<usize>,
    timeout: Option<Seconds>,
    query: Option<Box<RawValue>>,
    source: Option<Box<RawValue>>,
    track_total_hits: Option<Box<RawValue>>,
}

impl Clauses {
    fn from_parameters(parameters: &SearchParameters) -> Self {
        let track_total_hits = parameters.track_total_hits.as_ref();
        Clauses {
            from: parameters.from,
            size: parameters.size,
            timeout: parameters.timeout,
            query: None,
            source: None,
            track_total_hits: track_total_hits.and_then(|value| to_raw_value(value).ok()),
        }
    }

    fn read_body(&mut self, body: &[u8]) -> Result<(), QueryError> {
        if body.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let clauses: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(body).map_err(QueryError::MalformedBody)?;
        for (clause, value) in clauses {
            self.set(clause, value)?;
        }
        Ok(())
    }

    fn set(&mut self, clause: String, value: Box<RawValue>) -> Result<(), QueryError> {
        match clause.as_str() {
            "query" => {
                const EXPECTED: &str = "an object with one query clause";
                let query: Map<String, Json> = parse_clause(&clause, &value, EXPECTED)?;
                if query.len() != 1 {
                    return Err(malformed_clause(&clause, EXPECTED));
                }
                self.query = Some(value);
            }
            "from" => {
                let from = parse_clause(&clause, &value, "a number")?;
                self.from.get_or_insert(from);
            }
            "size" => {
                let size = parse_clause(&clause, &value, "a number")?;
                self.size.get_or_insert(size);
            }
            "timeout" => {
                let text: String = parse_clause(&clause, &value, "a time value")?;
                let timeout = duration::parse("timeout", &text)?;
                duration::limit_to_shorter(&mut self.timeout, timeout);
            }
            "_source" => self.source = Some(value),
            "track_total_hits" => {
                self.track_total_hits.get_or_insert(value);
            }
            _ => return Err(QueryError::UnsupportedClause(clause)),
        }
        Ok(())
    }

    /// Adds the query of parameter `q`.
    fn add_query_string(&mut self, q: Option<String>) -> Result<(), QueryError> {
        let Some(q) = q else { return Ok(()) };
        if self.query.is_some() {
            return Err(QueryError::TwoQueries);
        }
        let query = json!({"query_string": {"query": q}});
        self.query = Some(to_raw_value(&query).map_err(QueryError::MalformedQueryString)?);
        Ok(())
    }

    /// Returns the body for data nodes. It requests the complete window from every shard, because all hits of the
    /// merged window may come from a single shard.
    fn into_body(self, window: usize) -> String {
        let mut body = format!("{{\"from\":0,\"size\":{window}");
        let clauses = [
            ("query", self.query),
            ("_source", self.source),
            ("track_total_hits", self.track_total_hits),
        ];
        for (clause, value) in clauses {
            if let Some(value) = value {
                body.push_str(&format!(",\"{clause}\":{}", value.get()));
            }
        }
        body.push('}');
        body
    }
}

fn parse_clause<T: DeserializeOwned>(
    clause: &str,
    value: &RawValue,
    expected: &'static str,
) -> Result<T, QueryError> {
    serde_json::from_str(value.get()).map_err(|_| malformed_clause(clause, expected))
}

fn malformed_clause(clause: &str, expected: &'static str) -> QueryError {
    QueryError::MalformedClause {
        clause: clause.into(),
        expected,
    }
}

/// Returns the index with this name; a search must name exactly one.
fn find_index(indices: &[SearchIndex], name: Option<&str>) -> Result<SearchIndex, QueryError> {
    let name = name.ok_or(QueryError::NoIndex)?;
    if name.contains([',', '*']) || name == "_all" {
        return Err(QueryError::SeveralIndices(name.into()));
    }
    indices
        .iter()
        .find(|index| index.name == name)
        .cloned()
        .ok_or_else(|| QueryError::UnknownIndex(name.into()))
}

/// Returns the shards that a search is sent to: those of its index, or those listed in `preference=_shards:`.
fn requested_shards(index: &SearchIndex, preference: Option<&str>) -> Result<Vec<u32>, QueryError> {
    let all = || (index.first_shard..=index.last_shard).collect();
    let Some(preference) = preference else {
        return Ok(all());
    };
    let Some(list) = preference.strip_prefix("_shards:") else {
        // Any other custom value only selects replicas, which the coordinator chooses itself.
        return match preference.starts_with('_') {
            true => Err(QueryError::UnsupportedPreference(preference.into())),
            false => Ok(all()),
        };
    };
    let mut requested = BTreeSet::new();
    for number in list.split(',') {
        let shard: u32 = number
            .trim()
            .parse()
            .map_err(|_| QueryError::NotAShard(number.into()))?;
        if !(index.first_shard..=index.last_shard).contains(&shard) {
            return Err(QueryError::UnknownShard {
                index: index.name.clone(),
                shard,
            });
        }
        requested.insert(shard);
    }
    Ok(requested.into_iter().collect())
}
