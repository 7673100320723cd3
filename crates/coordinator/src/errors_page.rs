//! `docs/ERRORS.md` is made from the errors' types; the test here fails when it is stale.

use crate::cluster;
use cairnroad_cluster::{names, Dropped};
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
        names::Fault::Empty,
        names::Fault::Name("a b".into()),
        names::Fault::Range("n[3-1]".into()),
        names::Fault::Twice("n2".into()),
        names::Fault::TooMany,
    ];
    let place = |fault: &names::Fault| match fault {
        names::Fault::Empty => 0,
        names::Fault::Name(_) => 1,
        names::Fault::Range(_) => 2,
        names::Fault::Twice(_) => 3,
        names::Fault::TooMany => 4,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, names::Fault::help)
}

fn dropped() -> Vec<Row> {
    let all = vec![
        Dropped::Garbage,
        Dropped::Version,
        Dropped::Cluster,
        Dropped::Misdirected,
        Dropped::Full,
    ];
    let place = |fault: &Dropped| match fault {
        Dropped::Garbage => 0,
        Dropped::Version => 1,
        Dropped::Cluster => 2,
        Dropped::Misdirected => 3,
        Dropped::Full => 4,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, Dropped::help)
}

fn part() -> Vec<Row> {
    let all = vec![cluster::Fault::Listen {
        address: ([127, 0, 0, 1], 7400).into(),
        cause: io(),
    }];
    let place = |fault: &cluster::Fault| match fault {
        cluster::Fault::Listen { .. } => 0,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, cluster::Fault::help)
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
