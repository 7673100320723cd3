//! The health check `GET /_health`, which both fronts answer alike.

use super::front::Front;
use super::reply::Reply;
use crate::messages::ServingPhase;

/// Path of the health check.
pub const PATH: &str = "/_health";

/// Returns the response to a health check: 200 while the coordinator is serving, otherwise 503.
pub fn reply(front: &Front, method: &str) -> Reply {
    match (method, *front.phase.borrow()) {
        ("GET", ServingPhase::Serving) => Reply::json(200, b"{\"status\":\"ready\"}".to_vec()),
        ("GET", _) => front
            .error_reply(503, "not ready")
            .with_header("Retry-After", "1".into()),
        _ => front
            .error_reply(405, "only GET is answered here")
            .with_header("Allow", "GET".into()),
    }
}
