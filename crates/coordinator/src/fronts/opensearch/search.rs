//! One search: its index, shards, window, and the body that is forwarded to data nodes.

use super::duration;
use super::error::QueryError;
use super::parameters::SearchParameters;
use crate::messages::SearchIndex;
use cairnroad_types::Seconds;
use serde::de::DeserializeOwned;
use serde_json::value::{to_raw_value, RawValue};
use serde_json::{json, Map, Value as Json};
use std::collections::{BTreeMap, BTreeSet};

/// Hits of a response where the client sets no size, as the API has it.
const DEFAULT_SIZE: usize = 10;
/// The API's limit on `from` + `size`.
pub const MAX_RESULT_WINDOW: usize = 10_000;

/// A search that can be forwarded.
#[derive(Debug)]
pub struct Search {
    /// The index that is searched.
    pub index: SearchIndex,
    /// The shards that the search is sent to, in ascending order.
    pub shards: Vec<u32>,
    /// Hits of the merged order that the response skips.
    pub from: usize,
    /// Most hits in the response.
    pub size: usize,
    /// The client's own time limit.
    pub timeout: Option<Seconds>,
    /// Whether an answer without some shards is wanted.
    pub allow_partial_results: bool,
    /// The JSON body for data nodes.
    pub body: String,
}

impl Search {
    /// Combines a search's body with its parameters.
    ///
    /// The clauses that are understood are forwarded to data nodes; any other is an error, for an answer that silently
    /// left one out would be wrong.
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

/// The clauses of a search. Parameters take precedence over the body, except for the time limit, where the shorter one
/// counts.
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

    /// Adds the query of the parameter `q`.
    fn add_query_string(&mut self, q: Option<String>) -> Result<(), QueryError> {
        let Some(q) = q else { return Ok(()) };
        if self.query.is_some() {
            return Err(QueryError::TwoQueries);
        }
        let query = json!({"query_string": {"query": q}});
        self.query = Some(to_raw_value(&query).map_err(QueryError::MalformedQueryString)?);
        Ok(())
    }

    /// The body for data nodes. Any hit of the merged window may come from any one shard.
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

/// The shards that a search is sent to: its index's, or those that `preference=_shards:` names.
fn requested_shards(index: &SearchIndex, preference: Option<&str>) -> Result<Vec<u32>, QueryError> {
    let all = || (index.first_shard..=index.last_shard).collect();
    let Some(preference) = preference else {
        return Ok(all());
    };
    let Some(list) = preference.strip_prefix("_shards:") else {
        // Any other word only selects replicas, which is the coordinator's own choice.
        return match preference.starts_with('_') {
            true => Err(QueryError::UnsupportedPreference(preference.into())),
            false => Ok(all()),
        };
    };
    let mut requested = BTreeSet::new();
    for word in list.split(',') {
        let shard: u32 = word
            .trim()
            .parse()
            .map_err(|_| QueryError::NotAShard(word.into()))?;
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
