//! Errors in a search that prevent it from being forwarded.

use super::multi_search::MAX_SEARCHES;
use super::response::error_reply;
use super::search::MAX_RESULT_WINDOW;
use crate::fronts::reply::Reply;

/// The reason why a search is not forwarded. The text is the `reason` in the response, next to a status and a type.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error("there is nothing at this path")]
    UnknownPath,
    #[error("an index is needed: /{{index}}/_search")]
    NoIndexInPath,
    #[error("an index is missing")]
    NoIndex,
    #[error("[{0}]: one index at a time is supported")]
    SeveralIndices(String),
    #[error("no such index [{0}]")]
    UnknownIndex(String),

    #[error("parameter [{0}] is malformed")]
    MalformedParameter(String),
    #[error("[{0}] is not supported")]
    UnsupportedParameter(String),
    #[error("[{0}] is not a whole number")]
    NotAWholeNumber(String),
    #[error("[{0}] is neither true nor false")]
    NotABoolean(String),
    #[error("[{name}] is not a time value: [{value}]")]
    NotATimeValue { name: String, value: String },
    #[error("[track_total_hits] is malformed")]
    MalformedTrackTotalHits,
    #[error("preference [{0}] is not supported")]
    UnsupportedPreference(String),
    #[error("preference: [{0}] is not a shard's number")]
    NotAShard(String),
    #[error("preference: index [{index}] has no shard [{shard}]")]
    UnknownShard { index: String, shard: u32 },

    #[error("the body: {0}")]
    MalformedBody(#[source] serde_json::Error),
    #[error("[{clause}] must be {expected}")]
    MalformedClause {
        clause: String,
        expected: &'static str,
    },
    #[error("the clause [{0}] is not supported")]
    UnsupportedClause(String),
    #[error("a query is given both as [q] and in the body")]
    TwoQueries,
    #[error("{0}")]
    MalformedQueryString(#[source] serde_json::Error),
    #[error("[from] + [size] must be {MAX_RESULT_WINDOW} at most")]
    WindowTooLarge,
    #[error("[timeout] must be above 0")]
    TimeoutNotPositive,

    #[error("the body is not text")]
    BodyNotText,
    #[error("the body must end in a newline")]
    NoFinalNewline,
    #[error("the body must hold pairs of lines: a header, then a search")]
    UnpairedLines,
    #[error("at most {MAX_SEARCHES} searches are taken at once")]
    TooManySearches,
    #[error("a header: {0}")]
    MalformedHeader(#[source] serde_json::Error),
    #[error("a header: [{0}] must be one value")]
    HeaderNotOneValue(String),
}

impl QueryError {
    /// Returns the HTTP status and the API's type of the error.
    fn status_and_type(&self) -> (u16, &'static str) {
        match self {
            QueryError::UnknownPath => (404, "resource_not_found_exception"),
            QueryError::UnknownIndex(_) => (404, "index_not_found_exception"),
            QueryError::NoIndex
            | QueryError::MalformedBody(_)
            | QueryError::MalformedClause { .. }
            | QueryError::UnsupportedClause(_)
            | QueryError::MalformedQueryString(_)
            | QueryError::BodyNotText
            | QueryError::NoFinalNewline
            | QueryError::UnpairedLines
            | QueryError::MalformedHeader(_) => (400, "parsing_exception"),
            QueryError::NoIndexInPath
            | QueryError::SeveralIndices(_)
            | QueryError::MalformedParameter(_)
            | QueryError::UnsupportedParameter(_)
            | QueryError::NotAWholeNumber(_)
            | QueryError::NotABoolean(_)
            | QueryError::NotATimeValue { .. }
            | QueryError::MalformedTrackTotalHits
            | QueryError::UnsupportedPreference(_)
            | QueryError::NotAShard(_)
            | QueryError::UnknownShard { .. }
            | QueryError::TwoQueries
            | QueryError::WindowTooLarge
            | QueryError::TimeoutNotPositive
            | QueryError::TooManySearches
            | QueryError::HeaderNotOneValue(_) => (400, "illegal_argument_exception"),
        }
    }

    /// Returns the response to the client.
    pub fn reply(&self) -> Reply {
        let (status, error_type) = self.status_and_type();
        error_reply(status, error_type, &self.to_string())
    }
}
