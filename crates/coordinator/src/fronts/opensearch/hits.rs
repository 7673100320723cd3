//! Merges the hits of all shards into one list.

use super::search::Search;
use crate::messages::{PartAnswer, PartValue};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Score of a hit made from a value that has no score.
const PLAIN_VALUE_SCORE: f64 = 1.0;

/// The reason why the values of data nodes can't be merged. The text is sent to the client.
#[derive(Debug, thiserror::Error)]
pub enum MergeError {
    #[error("a value is not text")]
    NotText(#[source] std::str::Utf8Error),
    #[error("a hits object: {0}")]
    MalformedHits(#[source] serde_json::Error),
    #[error("a hit: {0}")]
    MalformedHit(#[source] serde_json::Error),
}

/// The hits object of one data node. The type's name appears in error texts to clients.
#[derive(Deserialize)]
struct Hits<'a> {
    #[serde(default)]
    total: Option<Total>,
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

/// The total number of hits, which is exact if the relation is `eq`. The type's name appears in error texts to clients.
#[derive(Clone, Deserialize, Serialize)]
struct Total {
    value: u64,
    relation: String,
}

impl Total {
    fn exact(value: u64) -> Self {
        Total {
            value,
            relation: "eq".into(),
        }
    }

    fn add(&mut self, other: Total) {
        self.value = self.value.saturating_add(other.value);
        if other.relation != "eq" {
            self.relation = other.relation;
        }
    }
}

/// The field of a hit that determines its rank. The type's name appears in error texts to clients.
#[derive(Deserialize)]
struct Scored {
    #[serde(rename = "_score", default)]
    score: Option<f64>,
}

/// The unchanged JSON of a hit, and the score that determines its rank.
struct ScoredHit<'a> {
    score: Option<f64>,
    json: Cow<'a, str>,
}

impl ScoredHit<'_> {
    /// Returns the sort key. Hits without a score come last.
    fn rank(&self) -> f64 {
        self.score.unwrap_or(f64::NEG_INFINITY)
    }
}

/// The hits of all parts, and their total number.
struct MergedHits<'a> {
    hits: Vec<ScoredHit<'a>>,
    /// Sum of the totals; `None` once a data node returned no total.
    total: Option<Total>,
}

impl<'a> MergedHits<'a> {
    fn add_total(&mut self, other: Option<Total>) {
        match (&mut self.total, other) {
            (Some(total), Some(other)) => total.add(other),
            (total, _) => *total = None,
        }
    }

    /// Adds a value that is not a hits object as a single hit.
    fn add_plain(&mut self, index: &str, shard: u32, bytes: &[u8]) -> Result<(), MergeError> {
        let text = std::str::from_utf8(bytes).map_err(MergeError::NotText)?;
        let id = shard.to_string();
        let hit = json!({"_index": index, "_id": id, "_score": PLAIN_VALUE_SCORE, "_source": {"doc": text}});
        self.hits.push(ScoredHit {
            score: Some(PLAIN_VALUE_SCORE),
            json: hit.to_string().into(),
        });
        self.add_total(Some(Total::exact(1)));
        Ok(())
    }

    /// Adds the hits of a hits object.
    fn add_hits(&mut self, text: &'a str) -> Result<(), MergeError> {
        let part: Hits = serde_json::from_str(text).map_err(MergeError::MalformedHits)?;
        self.add_total(part.total);
        for hit in part.hits {
            let scored: Scored =
                serde_json::from_str(hit.get()).map_err(MergeError::MalformedHit)?;
            self.hits.push(ScoredHit {
                score: scored.score,
                json: hit.get().into(),
            });
        }
        Ok(())
    }
}

/// Returns the hits object of the response: the hits of all parts in descending order of their scores. Hits with equal
/// scores stay in the order of their shards. The JSON of each hit is passed on byte by byte.
pub fn merge(search: &Search, parts: &[PartAnswer]) -> Result<String, MergeError> {
    let mut merged = MergedHits {
        hits: Vec::new(),
        total: Some(Total::exact(0)),
    };
    for part in parts {
        match &part.value {
            Err(_) => {}
            Ok(PartValue::Plain(bytes)) => {
                merged.add_plain(&search.index.name, part.shard, bytes)?
            }
            Ok(PartValue::Hits(text)) => merged.add_hits(text)?,
        }
    }
    let MergedHits { mut hits, total } = merged;
    hits.sort_by(|a, b| b.rank().total_cmp(&a.rank()));
    let max_score = hits.first().and_then(|hit| hit.score);
    let window: Vec<&str> = hits
        .iter()
        .skip(search.from)
        .take(search.size)
        .map(|hit| hit.json.as_ref())
        .collect();
    let total = match total {
        Some(total) => format!("\"total\":{},", json!(total)),
        None => String::new(),
    };
    Ok(format!(
        "{{{total}\"max_score\":{},\"hits\":[{}]}}",
        json!(max_score),
        window.join(",")
    ))
}
