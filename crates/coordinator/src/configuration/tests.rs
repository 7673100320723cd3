//! Tests of the configuration, and sample configurations for the tests of other modules.

use super::build::build;
use super::error::ContentError;
use super::limits::DEFAULT_SOCKETS;
use super::project_file::ProjectFile;
use super::{BackendKind, Config, ConnectionLimits, ContractSettings};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::Mode;
use std::path::Path;

const SETTINGS: &str = r#"{"classes":[
    {"name":"stock-search","aimS":1.0,"deadlineS":2.0,"effect":"idempotent","value":3.0,"lateShare":0.3},
    {"name":"pick-confirm","aimS":1.0,"deadlineS":2.5,"effect":"at_most_once","value":1.0,"lateShare":0.3}],
    "groupSize":1,"registryMode":"pushed","tickS":0.005,"report":{"how":"piggyback","names":["queue","latency_ms"]},
    "extra":{"positions":2,"span":1,"shards":8,"partsACall":8,"needByClass":[1.0,1.0],"minShare":[0.8,1.0],
    "partialEarns":[0.9,0.9],"fetchParts":[0,0]},"caps":{"attemptsCap":3,"cancel":true,"secondCopies":true,
    "probes":true,"retryAfter":false,"maxRetryAfterS":2.0,"openCap":60,"dialTimeoutS":0.25,"keepaliveS":15.0,
    "streamsPerConn":32},"safety":{"coldFrom":0.23,"warmUpS":16.0,"stopSendingWithinS":0.25,"fallMultiple":2.5,
    "fallS":1.0}}"#;

fn json(settings: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","settings":{settings}}}"#
    )
}

/// Returns a valid configuration without a project file.
pub fn sample() -> Config {
    with_project_file("")
}

/// Returns the sample configuration with a project file of this content in the folder `d`.
pub fn with_project_file(text: &str) -> Config {
    let folder = Path::new("d");
    build_in(folder, &json(SETTINGS), text).unwrap()
}

fn build_in(
    folder: &Path,
    deployment_text: &str,
    project_text: &str,
) -> Result<Config, ContentError> {
    let project_file = ProjectFile {
        text: project_text,
        folder,
    };
    build(deployment_text.as_bytes(), &project_file, &|_| None)
}

#[test]
fn defaults_apply_to_keys_that_are_not_stated() {
    let config = sample();
    assert_eq!(
        (config.seed, config.opensearch_listen, config.backend),
        (255, None, BackendKind::Frames)
    );
    assert!(
        config.limits.max_accepted_clients + config.limits.max_server_connections + 64
            <= DEFAULT_SOCKETS
    );
    assert_eq!(
        config.served.deployment.policy.max_retry_after,
        Some(2.0),
        "every rejection carries a Retry-After"
    );
}

/// Guards against idle connections, each used for one request, that take all descriptors meant for clients.
#[test]
fn idle_connections_leave_descriptors_for_active_clients() {
    for (sockets, memory) in [(256, 32), (384, 48), (1024, 128), (1024, 32)] {
        let limits = ConnectionLimits::new(memory, sockets);
        assert!(
            limits.idle_eviction_threshold * 3 / 2 <= sockets / 3,
            "{limits:?}"
        );
        assert!(
            limits.max_accepted_clients + limits.max_server_connections + sockets / 16 <= sockets,
            "{limits:?}"
        );
    }
}

/// Guards against a process that outgrows its memory: what all connections together may hold, in every state, fits into
/// the memory in the settings, at the least memory with the most descriptors and the other way round.
#[test]
fn all_connections_and_buffers_together_fit_into_the_memory() {
    for memory_mb in [16, 32, 64, 192] {
        for sockets in [128, 256, 512, 1024] {
            let limits = ConnectionLimits::new(memory_mb, sockets);
            let connections = limits.max_accepted_clients + limits.max_server_connections;
            let peak = limits.buffers.peak_memory(memory_mb as usize, connections);
            // With 16 MB, a process shares 32 MB and 512 descriptors with the one that replaces it.
            if memory_mb > 16 || sockets <= 512 {
                assert!(
                    peak <= memory_mb as usize * 1024 * 1024,
                    "{limits:?}: {peak} bytes"
                );
            }
            assert!(limits.buffers.clients >= 512 * 1024, "{limits:?}");
        }
    }
}

/// Guards against a connection pool smaller than the fleet: deployments with 512 descriptors have up to 190 servers,
/// and round robin over replicas uses all of them.
#[test]
fn a_coordinator_keeps_a_connection_to_each_server_of_a_large_fleet() {
    for (sockets, servers) in [(512, 190), (1024, 380)] {
        assert!(
            ConnectionLimits::new(64, sockets).max_server_connections >= servers,
            "{:?}",
            ConnectionLimits::new(64, sockets)
        );
    }
}

#[test]
fn keys_that_need_a_restart_are_named() {
    let read = |text: String| build_in(Path::new(""), &text, "").unwrap();
    let (old, text) = (sample(), json(SETTINGS));
    assert!(old
        .changed_keys_requiring_restart(&read(text.replace("127.0.0.1:1", "127.0.0.1:2")))
        .is_empty());
    assert_eq!(
        old.changed_keys_requiring_restart(&read(text.replace("\"n1\"", "\"n2\""))),
        ["name"]
    );
    // A key with a default may be missing from the first file, but not from a later file once it was stated.
    let shortened = read(text.replace(r#""dialTimeoutS":0.25,"#, ""));
    assert_eq!(
        old.first_key_missing_in(&shortened).as_deref(),
        Some("settings.caps.dialTimeoutS")
    );
    assert_eq!(
        (
            shortened.first_key_missing_in(&old),
            old.first_key_missing_in(&sample())
        ),
        (None, None)
    );
}

#[test]
fn errors_name_the_key_and_its_line() {
    let error_text = |json: String, project_text: &str| {
        let error = build_in(Path::new(""), &json, project_text).unwrap_err();
        let line = match &error {
            ContentError::Deployment(_) => None,
            ContentError::Project(error) => error.line(),
        };
        format!("{}:{error}", line.unwrap_or(0))
    };
    assert!(error_text(json(SETTINGS).replace("127.0.0.1:0", "nowhere"), "").contains("'listen'"));
    assert!(error_text(json(SETTINGS).replace("\"ff\"", "\"xyz\""), "").contains("'seed'"));
    assert!(
        error_text(json(SETTINGS).replace("\"discovery\"", "\"d\""), "").contains("NODE_DISCOVERY")
    );
    assert!(error_text(json(&SETTINGS.replace("tickS", "tick")), "").contains("tickS"));
    assert!(
        error_text(json(SETTINGS), "[opensearch]\nenabled = true").contains("opensearch.listen")
    );
    assert!(error_text(json(SETTINGS), "[opensearch]\nport = 3").contains("port"));
    assert!(error_text(json(SETTINGS), "[backend]\nkind = \"soap\"").starts_with("2:"));
    let project_text =
        "[contract.query]\nmode = \"observe\"\nshare = 1.5\ndescription = \"q.yaml\"";
    let expected = "3:'contract.query.share': expected a number above 0 and at most 1, found 1.5";
    assert_eq!(error_text(json(SETTINGS), project_text), expected);
    for (key, value, cause) in [
        ("listen", "\"nowhere\"", "expected an IP address"),
        ("advertise", "\"10.0.0.1:0\"", "port 0 can't receive"),
        ("cluster", "\"a b\"", "is not a valid name"),
        ("group", "[\"n[3-1]\"]", "is not a valid range"),
        ("group", "[\"n2\"]", "'n1', the name of this coordinator"),
        ("group", "[]", "the group has no members"),
        ("seeds", "[\"x\"]", "expected an IP address"),
        (
            "offers",
            "[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]",
            "expected at most 8 entries",
        ),
    ] {
        let valid = [
            ("listen", "\"127.0.0.1:0\""),
            ("cluster", "\"c\""),
            ("group", "[\"n[1-3]\"]"),
        ];
        let rest = valid.iter().filter(|(other, _)| *other != key);
        let rest: String = rest
            .map(|(key, value)| format!("{key} = {value}\n"))
            .collect();
        let project_text = format!("[peers]\nenabled = true\n{key} = {value}\n{rest}");
        let message = error_text(json(SETTINGS), &project_text);
        assert!(
            message.starts_with(&format!("3:'peers.{key}': ")) && message.contains(cause),
            "{message}"
        );
    }
    assert!(error_text(json(SETTINGS), "[peers]\nenabled = true").starts_with("1:'peers.listen'"));
    let project_text = "[log]\n\n[contract.servers]\nmode = \"enforce\"";
    assert!(
        error_text(json(SETTINGS), project_text).starts_with("3:'contract.servers.description'")
    );
    let project_text = "[contract.discovery]\nmode = \"enforce\"\ndescription = \"d.yaml\"";
    assert!(error_text(json(SETTINGS), project_text).starts_with("2:'contract.discovery.mode'"));
}

#[test]
fn a_description_path_is_relative_to_the_project_file() {
    let config =
        with_project_file("[contract.query]\nmode = \"observe\"\ndescription = \"q.yaml\"");
    let settings = ContractSettings {
        mode: Mode::Observe,
        share: 1.0,
        path: "d/q.yaml".into(),
    };
    assert_eq!(config.contracts, [(Interface::Query, settings)]);
    assert!(with_project_file("[contract.query]\nmode = \"off\"")
        .contracts
        .is_empty());
}
