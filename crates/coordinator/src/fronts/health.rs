//! `GET /_health`, the same on both fronts.

use super::front::Front;
use super::reply::Reply;
use crate::messages::ServingPhase;

/// The path that health checks ask.
pub const PATH: &str = "/_health";

/// 200 only while the program is ready to serve, 503 otherwise.
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
