//! Generates `docs/ERRORS.md` from the error types, and tests that the page is up to date.

use crate::cluster;
use cairnroad_cluster::member_names::MemberNamesError;
use cairnroad_cluster::DatagramError;
use cairnroad_discovery_watch::WatchError;
use cairnroad_settings::SettingsError;

/// Command that generates the page.
const GENERATED_BY: &str = "UPDATE_ERRORS=1 cargo test -p cairnroad-coordinator errors_page";

/// A row of the page: an example message of one error variant, and advice for the operator.
struct Row {
    message: String,
    help: &'static str,
}

fn rows<T: std::fmt::Display>(all: Vec<T>, help: impl Fn(&T) -> &'static str) -> Vec<Row> {
    all.iter()
        .map(|error| Row {
            message: error.to_string(),
            help: help(error),
        })
        .collect()
}

fn address_in_use() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::AddrInUse)
}

/// Returns a row for each variant. The matches here and below fail to compile if a variant is added but not listed.
fn settings_errors() -> Vec<Row> {
    let all = vec![
        SettingsError::Malformed {
            key: "classes[0].aimS".into(),
            cause: "invalid type".into(),
        },
        SettingsError::NotPositive {
            key: "tickS".into(),
            value: 0.0,
        },
        SettingsError::NoClasses,
        SettingsError::DuplicateClass {
            index: 1,
            name: "stock-search".into(),
        },
        SettingsError::MissingClassEntry {
            key: "minShare",
            index: 1,
        },
        SettingsError::UnknownKeyword {
            key: "registryMode".into(),
            keyword: "sometimes".into(),
        },
        SettingsError::MissingKey {
            key: "safety.mustAskInS",
        },
    ];
    let variant = |error: &SettingsError| match error {
        SettingsError::Malformed { .. } => 0,
        SettingsError::NotPositive { .. } => 1,
        SettingsError::NoClasses => 2,
        SettingsError::DuplicateClass { .. } => 3,
        SettingsError::MissingClassEntry { .. } => 4,
        SettingsError::UnknownKeyword { .. } => 5,
        SettingsError::MissingKey { .. } => 6,
    };
    assert!(all
        .iter()
        .enumerate()
        .all(|(index, error)| variant(error) == index));
    rows(all, SettingsError::help)
}

fn watch_errors() -> Vec<Row> {
    let all = vec![
        WatchError::ConnectTimeout { secs: 0.5 },
        WatchError::Connection(address_in_use()),
        WatchError::ResponseTimeout { secs: 3.0 },
        WatchError::ConnectionClosed,
        WatchError::UnexpectedStatus(410),
        WatchError::MalformedResponse("the head is too large"),
        WatchError::InvalidEndpointList(serde_json::from_str::<bool>("?").unwrap_err()),
    ];
    let variant = |error: &WatchError| match error {
        WatchError::ConnectTimeout { .. } => 0,
        WatchError::Connection(_) => 1,
        WatchError::ResponseTimeout { .. } => 2,
        WatchError::ConnectionClosed => 3,
        WatchError::UnexpectedStatus(_) => 4,
        WatchError::MalformedResponse(_) => 5,
        WatchError::InvalidEndpointList(_) => 6,
    };
    assert!(all
        .iter()
        .enumerate()
        .all(|(index, error)| variant(error) == index));
    rows(all, WatchError::help)
}

fn member_name_errors() -> Vec<Row> {
    let all = vec![
        MemberNamesError::Empty,
        MemberNamesError::InvalidName("a b".into()),
        MemberNamesError::InvalidRange("n[3-1]".into()),
        MemberNamesError::DuplicateName("n2".into()),
        MemberNamesError::TooManyNames,
    ];
    let variant = |error: &MemberNamesError| match error {
        MemberNamesError::Empty => 0,
        MemberNamesError::InvalidName(_) => 1,
        MemberNamesError::InvalidRange(_) => 2,
        MemberNamesError::DuplicateName(_) => 3,
        MemberNamesError::TooManyNames => 4,
    };
    assert!(all
        .iter()
        .enumerate()
        .all(|(index, error)| variant(error) == index));
    rows(all, MemberNamesError::help)
}

fn dropped_datagrams() -> Vec<Row> {
    let all = vec![
        DatagramError::Malformed,
        DatagramError::ForeignVersion,
        DatagramError::ForeignCluster,
        DatagramError::Misdirected,
        DatagramError::TooManyMembers,
    ];
    let variant = |error: &DatagramError| match error {
        DatagramError::Malformed => 0,
        DatagramError::ForeignVersion => 1,
        DatagramError::ForeignCluster => 2,
        DatagramError::Misdirected => 3,
        DatagramError::TooManyMembers => 4,
    };
    assert!(all
        .iter()
        .enumerate()
        .all(|(index, error)| variant(error) == index));
    rows(all, DatagramError::help)
}

fn cluster_errors() -> Vec<Row> {
    let all = vec![cluster::ClusterError::Bind {
        address: ([127, 0, 0, 1], 7400).into(),
        source: address_in_use(),
    }];
    let variant = |error: &cluster::ClusterError| match error {
        cluster::ClusterError::Bind { .. } => 0,
    };
    assert!(all
        .iter()
        .enumerate()
        .all(|(index, error)| variant(error) == index));
    rows(all, cluster::ClusterError::help)
}

fn page() -> String {
    let mut page = format!(
        "# Errors\n\nWhat can go wrong: an example of each message, and what an operator can do. The page is generated from the error\n\
         types (`{GENERATED_BY}`); a test fails when it is stale.\n"
    );
    let sections = [
        (
            "Settings of the deployment (start, SIGHUP)",
            settings_errors(),
        ),
        ("The watch of the endpoint list (log)", watch_errors()),
        (
            "Member names of a group of coordinators (`peers.group`)",
            member_name_errors(),
        ),
        (
            "Membership in a group of coordinators (start)",
            cluster_errors(),
        ),
        (
            "Datagrams that are dropped (`GET /v1/peers`)",
            dropped_datagrams(),
        ),
    ];
    for (title, rows) in sections {
        page.push_str(&format!(
            "\n## {title}\n\n| message | what to do |\n| --- | --- |\n"
        ));
        for Row { message, help } in rows {
            let message = message.replace('|', "\\|");
            page.push_str(&format!("| {message} | {help} |\n"));
        }
    }
    page
}

#[test]
fn the_errors_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    if std::env::var("UPDATE_ERRORS").is_ok() {
        std::fs::write(path, page()).unwrap();
    }
    let current = std::fs::read_to_string(path).unwrap_or_default();
    assert!(current == page(), "docs/ERRORS.md is stale: {GENERATED_BY}");
}
