use super::{parse_request, AdminRequest, AdminResponse, AllowedMethod, MAX_NODE_ID_BYTES};
use quickcheck::{Gen, QuickCheck};

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn every_request_is_parsed_and_everything_else_is_rejected() {
    let suspend = |id: &str| Ok(AdminRequest::Suspend(id.into()));
    for (method, target, expected) in [
        ("GET", "/v1/readyz", Ok(AdminRequest::Readiness)),
        ("GET", "/v1/readyz?verbose", Ok(AdminRequest::Readiness)),
        (
            "PUT",
            "/v1/readyz",
            Err(AdminResponse::MethodNotAllowed(AllowedMethod::Get)),
        ),
        ("GET", "/v1/peers", Ok(AdminRequest::ClusterMembers)),
        ("PUT", "/v1/coordinator/drain", Ok(AdminRequest::Drain)),
        (
            "PUT",
            "/v1/coordinator/activate",
            Ok(AdminRequest::Activate),
        ),
        (
            "POST",
            "/v1/coordinator/activate",
            Err(AdminResponse::MethodNotAllowed(AllowedMethod::Put)),
        ),
        ("PUT", "/v1/data-nodes/s-1/suspend", suspend("s-1")),
        ("PUT", "/v1/data-nodes/s%2f1%20/suspend", suspend("s/1 ")),
        (
            "PUT",
            "/v1/data-nodes/s-1/resume",
            Ok(AdminRequest::Resume("s-1".into())),
        ),
        (
            "GET",
            "/v1/data-nodes/s-1/resume",
            Err(AdminResponse::MethodNotAllowed(AllowedMethod::Put)),
        ),
        (
            "PUT",
            "/v1/data-nodes//resume",
            Err(AdminResponse::InvalidNodeId),
        ),
        (
            "PUT",
            "/v1/data-nodes/%/resume",
            Err(AdminResponse::InvalidNodeId),
        ),
        (
            "PUT",
            "/v1/data-nodes/%ff/resume",
            Err(AdminResponse::InvalidNodeId),
        ),
        (
            "PUT",
            "/v1/data-nodes/%0a/resume",
            Err(AdminResponse::InvalidNodeId),
        ),
        ("PUT", "/v1/data-nodes/s-1", Err(AdminResponse::UnknownPath)),
        (
            "PUT",
            "/v1/coordinator/drain/",
            Err(AdminResponse::UnknownPath),
        ),
        ("GET", "/v1/", Err(AdminResponse::UnknownPath)),
        ("GET", "/", Err(AdminResponse::UnknownPath)),
        ("GET", "", Err(AdminResponse::UnknownPath)),
    ] {
        assert_eq!(parse_request(method, target), expected, "{method} {target}");
    }
    let long = format!(
        "/v1/data-nodes/{}/resume",
        "a".repeat(MAX_NODE_ID_BYTES + 1)
    );
    assert_eq!(
        parse_request("PUT", &long),
        Err(AdminResponse::InvalidNodeId)
    );
}

/// Guards against a path that crashes the process instead of being rejected.
#[test]
fn no_path_panics_or_yields_an_invalid_id() {
    let id_is_valid_or_rejected = |id: String| {
        let target = format!("/v1/data-nodes/{id}/suspend");
        !matches!(parse_request("PUT", &target), Ok(AdminRequest::Suspend(id)) if id.is_empty() || id.len() > MAX_NODE_ID_BYTES)
    };
    let fixed = Gen::from_size_and_seed(40, 7);
    QuickCheck::new()
        .rng(fixed)
        .tests(2_000)
        .quickcheck(id_is_valid_or_rejected as fn(String) -> bool);
}
