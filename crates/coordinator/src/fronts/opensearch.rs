//! The query API: `_search` and `_msearch` in OpenSearch's form. An index is a class of query over a range of
//! shards; each shard is one part.

use super::exchange::{Exchange, Front, Reply};
use crate::http;
use crate::messages::Index;
use crate::messages::{Answer, PartAnswer, PartSpec, Request, Text, Value};
use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};
use serde_json::{json, Map, Value as Json};
use std::collections::{BTreeMap, BTreeSet};

/// The API's own default and limit on hits.
const DEFAULT_SIZE: usize = 10;
pub const MOST_WINDOW: usize = 10_000;
/// Most searches in one `_msearch`.
pub const MOST_SEARCHES: usize = 64;
/// Terms that change nothing here: they lay a reply out, which is free, or steer what one named index has not.
const HARMLESS: [&str; 11] = [
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

/// A fault that ends a search before it is asked: status, type, reason.
#[derive(Debug, PartialEq)]
pub struct Fault(u16, &'static str, String);

fn illegal(reason: impl Into<String>) -> Fault {
    Fault(400, "illegal_argument_exception", reason.into())
}

fn malformed(reason: impl Into<String>) -> Fault {
    Fault(400, "parsing_exception", reason.into())
}

/// One search, understood.
#[derive(Debug)]
struct Search {
    index: Index,
    shards: Vec<u32>,
    from: usize,
    size: usize,
    /// The client's own limit, in seconds.
    limit: Option<f64>,
    partial: bool,
    text: String,
}

/// What a path, its parameters and an `_msearch` header line say of a search.
#[derive(Clone, Default)]
struct Terms {
    index: Option<String>,
    preference: Option<String>,
    limit: Option<f64>,
    partial: Option<bool>,
    from: Option<usize>,
    size: Option<usize>,
    q: Option<String>,
    track_total_hits: Option<Json>,
}

/// Answers one request; `Err`: its client is gone.
pub async fn answer(
    front: &Front,
    request: &http::Request,
    arrived: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ()> {
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    if let Some(page) = front.contracts.page(path) {
        return Ok(match request.method.as_str() {
            "GET" => Reply::json(200, page),
            _ => error(
                405,
                "method_not_allowed_exception",
                "only GET is answered here",
            )
            .with("Allow", "GET".into()),
        });
    }
    let (index, many) = match segments.as_slice() {
        [index, "_search"] if !index.starts_with('_') => (Some(*index), false),
        ["_msearch"] => (None, true),
        [index, "_msearch"] if !index.starts_with('_') => (Some(*index), true),
        ["_search"] => return Ok(reply_to(illegal("an index is needed: /{index}/_search"))),
        _ => {
            return Ok(error(
                404,
                "resource_not_found_exception",
                "there is nothing at this path",
            ))
        }
    };
    if !matches!(request.method.as_str(), "GET" | "POST") {
        let reply = error(
            405,
            "method_not_allowed_exception",
            "only GET and POST are answered here",
        );
        return Ok(reply.with("Allow", "GET, POST".into()));
    }
    let terms = match parameters(query) {
        Ok(terms) => Terms {
            index: index.map(|i| decode(i).unwrap_or_else(|| i.into())),
            ..terms
        },
        Err(fault) => return Ok(reply_to(fault)),
    };
    if many {
        multi(front, request, terms, arrived, exchange).await
    } else {
        let search = match read(front, &request.body, terms) {
            Ok(search) => search,
            Err(fault) => return Ok(reply_to(fault)),
        };
        let asked = asked(front, &search, arrived);
        let answers = exchange.ask(vec![asked]).await?;
        let took = front.clock.now() - arrived;
        Ok(match answers.into_iter().next() {
            Some(answer) => word(&search, answer, took),
            None => error(500, "search_phase_execution_exception", "no answer"),
        })
    }
}

/// `_msearch`: all searches are asked at once, each with its own final answer, in the order of the request.
async fn multi(
    front: &Front,
    request: &http::Request,
    terms: Terms,
    arrived: Time,
    exchange: &mut Exchange<'_>,
) -> Result<Reply, ()> {
    let read = match read_many(front, &request.body, &terms) {
        Ok(read) => read,
        Err(fault) => return Ok(reply_to(fault)),
    };
    let requests = read
        .iter()
        .flatten()
        .map(|search| asked(front, search, arrived))
        .collect();
    let mut answers = exchange.ask(requests).await?.into_iter();
    let took = front.clock.now() - arrived;
    let replies: Vec<Reply> = read
        .into_iter()
        .map(|item| match item {
            Err(fault) => reply_to(fault),
            Ok(search) => match answers.next() {
                Some(answer) => word(&search, answer, took),
                None => error(500, "search_phase_execution_exception", "no answer"),
            },
        })
        .collect();
    // Each item has a status of its own; the advice of the refused ones stands in the one head there is.
    let advice = replies
        .iter()
        .flat_map(|reply| &reply.extra)
        .filter(|(name, _)| *name == "Retry-After");
    let longest = advice
        .filter_map(|(_, value)| value.parse::<u64>().ok())
        .max();
    let mut body = format!("{{\"took\":{},\"responses\":[", millis(took)).into_bytes();
    for (at, reply) in replies.iter().enumerate() {
        if at > 0 {
            body.push(b',');
        }
        body.extend_from_slice(&reply.body);
        if reply.status == 200 {
            // An item that was answered carries its status too.
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
        }
    }
    body.extend_from_slice(b"]}");
    let whole = Reply::json(200, body);
    Ok(match longest {
        Some(secs) => whole.with("Retry-After", secs.to_string()),
        None => whole,
    })
}

/// The request that a search stands for: one part for each shard, all of the same weight.
fn asked(front: &Front, search: &Search, arrived: Time) -> Request {
    let deadline = front.offer().deployment.policy.classes[search.index.class].deadline;
    let weight = 1.0 / search.shards.len() as f64;
    Request {
        name: front.fresh_name().into(),
        class: search.index.class,
        deadline: arrived + search.limit.map_or(deadline, |limit| limit.min(deadline)),
        client_retry: false,
        expected_work: None,
        parts: search
            .shards
            .iter()
            .map(|&shard| PartSpec { shard, weight })
            .collect(),
        text: Text::Query(search.text.as_str().into()),
        contracts: None,
    }
}

// ---- Reading ----------------------------------------------------------------------------------------------

fn parameters(query: &str) -> Result<Terms, Fault> {
    let mut terms = Terms::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value =
            decode(value).ok_or_else(|| illegal(format!("parameter [{name}] is malformed")))?;
        terms.set(name, value)?;
    }
    Ok(terms)
}

impl Terms {
    /// Takes in one term, whether a parameter or a key of a header line says it.
    fn set(&mut self, name: &str, value: String) -> Result<(), Fault> {
        let number = || {
            value
                .parse::<usize>()
                .map_err(|_| illegal(format!("[{name}] is not a whole number")))
        };
        match name {
            "preference" => self.preference = Some(value),
            "timeout" | "cancel_after_time_interval" => {
                tighten(&mut self.limit, duration(name, &value)?)
            }
            "allow_partial_search_results" => self.partial = Some(flag(name, &value)?),
            "from" => self.from = Some(number()?),
            "size" => self.size = Some(number()?),
            "q" => self.q = Some(value),
            "track_total_hits" => {
                let parsed = serde_json::from_str(&value)
                    .ok()
                    .filter(|v: &Json| v.is_boolean() || v.is_u64());
                self.track_total_hits =
                    Some(parsed.ok_or_else(|| illegal("[track_total_hits] is malformed"))?);
            }
            "search_type" if value == "query_then_fetch" => {}
            name if HARMLESS.contains(&name) => {}
            _ => return Err(illegal(format!("[{name}] is not supported"))),
        }
        Ok(())
    }
}

/// A word of a query string; `None` where its encoding is broken.
fn decode(text: &str) -> Option<String> {
    cairnroad_contract::sources::decode(&text.replace('+', " "))
}

fn flag(name: &str, value: &str) -> Result<bool, Fault> {
    match value {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        _ => Err(illegal(format!("[{name}] is neither true nor false"))),
    }
}

/// A time value of the API, such as `500ms`, in seconds; `None` for -1, which sets no limit.
fn duration(name: &str, value: &str) -> Result<Option<f64>, Fault> {
    if value == "-1" {
        return Ok(None);
    }
    let digits = value.len() - value.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let unit = match &value[digits..] {
        "nanos" => 1e-9,
        "micros" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86400.0,
        _ => return Err(illegal(format!("[{name}] is not a time value: [{value}]"))),
    };
    let count: f64 = value[..digits]
        .parse()
        .map_err(|_| illegal(format!("[{name}] is not a time value: [{value}]")))?;
    Ok(Some(count * unit))
}

fn tighten(limit: &mut Option<f64>, other: Option<f64>) {
    if let Some(secs) = other {
        *limit = Some(limit.map_or(secs, |old| old.min(secs)));
    }
}

/// A search's body with its terms. The clauses that are understood go on to the servers; any other is a fault,
/// for an answer that silently left one out would be a wrong answer.
fn read(front: &Front, body: &[u8], terms: Terms) -> Result<Search, Fault> {
    let name = terms
        .index
        .as_deref()
        .ok_or_else(|| malformed("an index is missing"))?;
    if name.contains([',', '*']) || name == "_all" {
        return Err(illegal(format!(
            "[{name}]: one index at a time is supported"
        )));
    }
    let unknown = || {
        Fault(
            404,
            "index_not_found_exception",
            format!("no such index [{name}]"),
        )
    };
    let index = front
        .offer()
        .indices
        .iter()
        .find(|index| index.name == name)
        .ok_or_else(unknown)?
        .clone();
    let shards = shards(&index, terms.preference.as_deref())?;
    let blank = body.iter().all(u8::is_ascii_whitespace);
    let clauses: BTreeMap<String, Box<RawValue>> = match blank {
        true => BTreeMap::new(),
        false => serde_json::from_slice(body).map_err(|e| malformed(format!("the body: {e}")))?,
    };
    let (mut from, mut size, mut limit) = (terms.from, terms.size, terms.limit);
    let mut onward: Vec<(&str, Box<RawValue>)> = Vec::new();
    let mut source: Option<Box<RawValue>> = None;
    let mut track: Option<Box<RawValue>> = terms
        .track_total_hits
        .as_ref()
        .and_then(|value| to_raw_value(value).ok());
    for (clause, value) in clauses {
        let bad = |wanted: &str| malformed(format!("[{clause}] must be {wanted}"));
        match clause.as_str() {
            "query" => {
                let query: Map<String, Json> = serde_json::from_str(value.get())
                    .map_err(|_| bad("an object with one query clause"))?;
                if query.len() != 1 {
                    return Err(bad("an object with one query clause"));
                }
                onward.push(("query", value));
            }
            "from" => {
                from = from.or(Some(
                    serde_json::from_str(value.get()).map_err(|_| bad("a number"))?,
                ))
            }
            "size" => {
                size = size.or(Some(
                    serde_json::from_str(value.get()).map_err(|_| bad("a number"))?,
                ))
            }
            "timeout" => {
                let text: String =
                    serde_json::from_str(value.get()).map_err(|_| bad("a time value"))?;
                tighten(&mut limit, duration("timeout", &text)?);
            }
            "_source" => source = Some(value),
            "track_total_hits" => track = track.or(Some(value)),
            _ => return Err(malformed(format!("the clause [{clause}] is not supported"))),
        }
    }
    if let Some(q) = terms.q {
        if !onward.is_empty() {
            return Err(illegal("a query is given both as [q] and in the body"));
        }
        let query = to_raw_value(&json!({"query_string": {"query": q}}))
            .map_err(|e| malformed(e.to_string()))?;
        onward.push(("query", query));
    }
    let (from, size) = (from.unwrap_or(0), size.unwrap_or(DEFAULT_SIZE));
    let window = from
        .checked_add(size)
        .filter(|&window| window <= MOST_WINDOW);
    let window =
        window.ok_or_else(|| illegal(format!("[from] + [size] must be {MOST_WINDOW} at most")))?;
    if limit.is_some_and(|secs| secs <= 0.0) {
        return Err(illegal("[timeout] must be above 0"));
    }
    // Any hit of the merged window may come from any one shard.
    let mut text = format!("{{\"from\":0,\"size\":{window}");
    let rest = [("_source", source), ("track_total_hits", track)];
    let rest = rest
        .into_iter()
        .filter_map(|(clause, value)| Some((clause, value?)));
    for (clause, value) in onward.into_iter().chain(rest) {
        text.push_str(&format!(",\"{clause}\":{}", value.get()));
    }
    text.push('}');
    Ok(Search {
        index,
        shards,
        from,
        size,
        limit,
        partial: terms.partial.unwrap_or(true),
        text,
    })
}

/// The shards that a search asks: its index's, or those that `preference=_shards:` names.
fn shards(index: &Index, preference: Option<&str>) -> Result<Vec<u32>, Fault> {
    let all = || (index.first_shard..=index.last_shard).collect();
    let Some(preference) = preference else {
        return Ok(all());
    };
    let Some(list) = preference.strip_prefix("_shards:") else {
        // Any other word only says which copies to ask; that is the coordinator's own choice.
        return match preference.starts_with('_') {
            true => Err(illegal(format!(
                "preference [{preference}] is not supported"
            ))),
            false => Ok(all()),
        };
    };
    let mut named = BTreeSet::new();
    for word in list.split(',') {
        let shard: u32 = word
            .trim()
            .parse()
            .map_err(|_| illegal(format!("preference: [{word}] is not a shard's number")))?;
        if !(index.first_shard..=index.last_shard).contains(&shard) {
            return Err(illegal(format!(
                "preference: index [{}] has no shard [{shard}]",
                index.name
            )));
        }
        named.insert(shard);
    }
    Ok(named.into_iter().collect())
}

/// An `_msearch` body: pairs of lines. A body that isn't is a fault of the whole; a search that is faulty in
/// itself is one of its own.
fn read_many(
    front: &Front,
    body: &[u8],
    terms: &Terms,
) -> Result<Vec<Result<Search, Fault>>, Fault> {
    let body = std::str::from_utf8(body).map_err(|_| malformed("the body is not text"))?;
    if !body.ends_with('\n') {
        return Err(malformed("the body must end in a newline"));
    }
    let lines: Vec<&str> = body.lines().collect();
    if lines.is_empty() || lines.len() % 2 == 1 {
        return Err(malformed(
            "the body must hold pairs of lines: a header, then a search",
        ));
    }
    if lines.len() / 2 > MOST_SEARCHES {
        return Err(illegal(format!(
            "at most {MOST_SEARCHES} searches are taken at once"
        )));
    }
    let pair = |pair: &[&str]| {
        let blank = pair[0].trim().is_empty();
        let header = if blank { "{}" } else { pair[0] };
        let header: Map<String, Json> =
            serde_json::from_str(header).map_err(|e| malformed(format!("a header: {e}")))?;
        let mut terms = terms.clone();
        for (name, value) in header {
            let value = match value {
                Json::String(text) => text,
                Json::Array(_) | Json::Object(_) | Json::Null => {
                    return Err(illegal(format!("a header: [{name}] must be one value")));
                }
                plain => plain.to_string(),
            };
            match name.as_str() {
                "index" => terms.index = Some(value),
                _ => terms.set(&name, value)?,
            }
        }
        read(front, pair[1].as_bytes(), terms)
    };
    Ok(lines.chunks(2).map(pair).collect())
}

// ---- Wording ----------------------------------------------------------------------------------------------

/// A hits object of a server.
#[derive(Deserialize)]
struct Hits<'a> {
    #[serde(default)]
    total: Option<Total>,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

#[derive(Clone, Deserialize, Serialize)]
struct Total {
    value: u64,
    relation: String,
}

#[derive(Deserialize)]
struct Scored {
    #[serde(rename = "_score", default)]
    score: Option<f64>,
}

/// The final answer in this API's words.
fn word(search: &Search, answer: Answer, took: f64) -> Reply {
    match answer {
        Answer::Served {
            complete: whole,
            parts,
        } => served(search, whole, &parts, took),
        Answer::Rejected { retry_after, busy } => {
            let (status, kind) = if busy {
                (429, "rejected_execution_exception")
            } else {
                (503, "unavailable_shards_exception")
            };
            error(status, kind, "refused: trying again is harmless")
                .with("Retry-After", whole_secs(retry_after))
        }
        Answer::DuplicateName => error(
            409,
            "illegal_state_exception",
            "the search's name was used before",
        ),
        Answer::Failed { late: true } => error(504, "timeout_exception", "no answer in time"),
        Answer::Failed { late: false } => error(
            500,
            "search_phase_execution_exception",
            "a part failed and may have run",
        ),
    }
}

fn served(search: &Search, whole: bool, parts: &[PartAnswer], took: f64) -> Reply {
    let failures: Vec<Json> = parts
        .iter()
        .filter_map(|part| part.value.as_ref().err().map(|reason| (part.shard, reason)))
        .map(|(shard, reason)| {
            json!({"shard": shard, "index": search.index.name,
                "reason": {"type": "shard_failure_exception", "reason": reason.to_string()}})
        })
        .collect();
    if !whole && !search.partial {
        return error(
            504,
            "search_phase_execution_exception",
            "Partial shards failure",
        );
    }
    let merged = match merge(search, parts) {
        Ok(merged) => merged,
        Err(reason) => return error(502, "search_phase_execution_exception", &reason),
    };
    let mut shards = json!({"total": parts.len(), "successful": parts.len() - failures.len(), "skipped": 0,
        "failed": failures.len()});
    if !failures.is_empty() {
        shards["failures"] = Json::Array(failures);
    }
    let body = format!(
        "{{\"took\":{},\"timed_out\":{},\"_shards\":{shards},\"hits\":{merged}}}",
        millis(took),
        !whole
    );
    Reply::json(200, body.into_bytes())
}

/// All parts' hits as one list, the best first; equals stay in the order of their shards. Hits pass unchanged,
/// byte by byte.
fn merge(search: &Search, parts: &[PartAnswer]) -> Result<String, String> {
    let mut hits: Vec<(Option<f64>, std::borrow::Cow<'_, str>)> = Vec::new();
    let mut total = Some(Total {
        value: 0,
        relation: "eq".into(),
    });
    let mut count = |more: Option<Total>| match (&mut total, more) {
        (Some(sum), Some(more)) => {
            sum.value = sum.value.saturating_add(more.value);
            if more.relation != "eq" {
                sum.relation = more.relation;
            }
        }
        // A server that doesn't count leaves nothing to add up.
        (sum, _) => *sum = None,
    };
    for part in parts {
        match &part.value {
            Err(_) => {}
            Ok(Value::Plain(bytes)) => {
                let text =
                    std::str::from_utf8(bytes).map_err(|_| "a value is not text".to_string())?;
                let id = part.shard.to_string();
                let hit = json!({"_index": search.index.name, "_id": id, "_score": 1.0, "_source": {"doc": text}});
                hits.push((Some(1.0), hit.to_string().into()));
                count(Some(Total {
                    value: 1,
                    relation: "eq".into(),
                }));
            }
            Ok(Value::Hits(text)) => {
                let part: Hits =
                    serde_json::from_str(text).map_err(|e| format!("a hits object: {e}"))?;
                count(part.total);
                for hit in part.hits {
                    let scored: Scored =
                        serde_json::from_str(hit.get()).map_err(|e| format!("a hit: {e}"))?;
                    hits.push((scored.score, hit.get().into()));
                }
            }
        }
    }
    let rank = |score: Option<f64>| score.unwrap_or(f64::NEG_INFINITY);
    hits.sort_by(|a, b| rank(b.0).total_cmp(&rank(a.0)));
    let best = hits.first().and_then(|(score, _)| *score);
    let window: Vec<&str> = hits
        .iter()
        .skip(search.from)
        .take(search.size)
        .map(|(_, hit)| hit.as_ref())
        .collect();
    let total = match total {
        Some(total) => format!("\"total\":{},", json!(total)),
        None => String::new(),
    };
    Ok(format!(
        "{{{total}\"max_score\":{},\"hits\":[{}]}}",
        json!(best),
        window.join(",")
    ))
}

fn millis(secs: f64) -> u64 {
    (secs * 1000.0).max(0.0) as u64
}

/// Advice in whole seconds, as HTTP has it, and never under a second.
fn whole_secs(secs: f64) -> String {
    format!("{}", secs.ceil().max(1.0) as u64)
}

fn reply_to(fault: Fault) -> Reply {
    error(fault.0, fault.1, &fault.2)
}

/// A refusal for want of room, or of time to come in.
pub fn later(status: u16, text: &str, advice: f64) -> Reply {
    error(status, "rejected_execution_exception", text).with("Retry-After", whole_secs(advice))
}

pub fn error(status: u16, kind: &str, reason: &str) -> Reply {
    let cause = json!({"type": kind, "reason": reason});
    let body =
        json!({"error": {"root_cause": [cause], "type": kind, "reason": reason}, "status": status});
    Reply::json(status, body.to_string().into_bytes())
}
