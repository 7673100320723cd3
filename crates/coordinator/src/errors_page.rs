//! `docs/ERRORS.md` is made from the errors' types; the test here fails when it is stale.

use crate::cluster;
use cairnroad_cluster::member_names::MemberNamesError;
use cairnroad_cluster::DatagramError;
use cairnroad_discovery_watch::WatchError as Watch;
use cairnroad_settings::Fault as Settings;

/// How to make the page anew.
const MADE_BY: &str = "UPDATE_ERRORS=1 cargo test -p cairnroad-coordinator errors_page";

type Row = (String, &'static str);

fn rows<T: std::fmt::Display>(all: Vec<T>, help: impl Fn(&T) -> &'static str) -> Vec<Row> {
    all.iter()
        .map(|fault| (fault.to_string(), help(fault)))
        .collect()
}

fn io() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::AddrInUse)
}

/// One of each cause. The matches below fail to compile when a cause is added that is not here.
fn settings() -> Vec<Row> {
    let all = vec![
        Settings::Form {
            key: "classes[0].aimS".into(),
            cause: "invalid type".into(),
        },
        Settings::NotPositive {
            key: "tickS".into(),
            value: 0.0,
        },
        Settings::NoClasses,
        Settings::Twice {
            at: 1,
            name: "stock-search".into(),
        },
        Settings::Lacks {
            key: "minShare",
            at: 1,
        },
        Settings::Unknown {
            key: "registryMode".into(),
            word: "sometimes".into(),
        },
        Settings::Missing {
            key: "safety.mustAskInS",
        },
    ];
    let place = |fault: &Settings| match fault {
        Settings::Form { .. } => 0,
        Settings::NotPositive { .. } => 1,
        Settings::NoClasses => 2,
        Settings::Twice { .. } => 3,
        Settings::Lacks { .. } => 4,
        Settings::Unknown { .. } => 5,
        Settings::Missing { .. } => 6,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, Settings::help)
}

fn watch() -> Vec<Row> {
    let all = vec![
        Watch::ConnectTimeout { secs: 0.5 },
        Watch::Connection(io()),
        Watch::ResponseTimeout { secs: 3.0 },
        Watch::ConnectionClosed,
        Watch::UnexpectedStatus(410),
        Watch::MalformedResponse("the head is too large"),
        Watch::InvalidEndpointList(serde_json::from_str::<bool>("?").unwrap_err()),
    ];
    let place = |fault: &Watch| match fault {
        Watch::ConnectTimeout { .. } => 0,
        Watch::Connection(_) => 1,
        Watch::ResponseTimeout { .. } => 2,
        Watch::ConnectionClosed => 3,
        Watch::UnexpectedStatus(_) => 4,
        Watch::MalformedResponse(_) => 5,
        Watch::InvalidEndpointList(_) => 6,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, Watch::help)
}

fn group() -> Vec<Row> {
    let all = vec![
        MemberNamesError::Empty,
        MemberNamesError::InvalidName("a b".into()),
        MemberNamesError::InvalidRange("n[3-1]".into()),
        MemberNamesError::DuplicateName("n2".into()),
        MemberNamesError::TooManyNames,
    ];
    let place = |fault: &MemberNamesError| match fault {
        MemberNamesError::Empty => 0,
        MemberNamesError::InvalidName(_) => 1,
        MemberNamesError::InvalidRange(_) => 2,
        MemberNamesError::DuplicateName(_) => 3,
        MemberNamesError::TooManyNames => 4,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, MemberNamesError::help)
}

fn dropped() -> Vec<Row> {
    let all = vec![
        DatagramError::Malformed,
        DatagramError::ForeignVersion,
        DatagramError::ForeignCluster,
        DatagramError::Misdirected,
        DatagramError::TooManyMembers,
    ];
    let place = |fault: &DatagramError| match fault {
        DatagramError::Malformed => 0,
        DatagramError::ForeignVersion => 1,
        DatagramError::ForeignCluster => 2,
        DatagramError::Misdirected => 3,
        DatagramError::TooManyMembers => 4,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, DatagramError::help)
}

fn part() -> Vec<Row> {
    let all = vec![cluster::ClusterError::Listen {
        address: ([127, 0, 0, 1], 7400).into(),
        source: io(),
    }];
    let place = |fault: &cluster::ClusterError| match fault {
        cluster::ClusterError::Listen { .. } => 0,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, cluster::ClusterError::help)
}

fn page() -> String {
    let mut page = format!(
        "# Errors\n\nWhat goes wrong, as it is told with an example of each cause, and what an operator can do. The page is made\n\
         from the errors' types (`{MADE_BY}`); a test fails when it is stale.\n"
    );
    let sections = [
        ("Settings of the deployment (start, SIGHUP)", settings()),
        ("The watch of the list of servers (log)", watch()),
        ("The names of a group (`peers.group`)", group()),
        ("Taking part in a group (start)", part()),
        ("Datagrams that are dropped (`GET /v1/peers`)", dropped()),
    ];
    for (title, rows) in sections {
        page.push_str(&format!(
            "\n## {title}\n\n| told as | what to do |\n| --- | --- |\n"
        ));
        for (told, help) in rows {
            page.push_str(&format!("| {} | {help} |\n", told.replace('|', "\\|")));
        }
    }
    page
}

#[test]
fn the_page_of_errors_is_not_stale() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    if std::env::var("UPDATE_ERRORS").is_ok() {
        std::fs::write(path, page()).unwrap();
    }
    let kept = std::fs::read_to_string(path).unwrap_or_default();
    assert!(kept == page(), "docs/ERRORS.md is stale: {MADE_BY}");
}
