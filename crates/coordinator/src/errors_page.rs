//! `docs/ERRORS.md` is made from the errors' types; the test here fails when it is stale.

use crate::cluster;
use cairnroad_cluster::{names, Dropped};
use cairnroad_discovery_watch::Fault as Watch;
use cairnroad_settings::SettingsError;

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
    let place = |fault: &SettingsError| match fault {
        SettingsError::Malformed { .. } => 0,
        SettingsError::NotPositive { .. } => 1,
        SettingsError::NoClasses => 2,
        SettingsError::DuplicateClass { .. } => 3,
        SettingsError::MissingClassEntry { .. } => 4,
        SettingsError::UnknownKeyword { .. } => 5,
        SettingsError::MissingKey { .. } => 6,
    };
    assert!(all.iter().enumerate().all(|(at, fault)| place(fault) == at));
    rows(all, SettingsError::help)
}

fn watch() -> Vec<Row> {
    let all = vec![
        Watch::NoConnection { secs: 0.5 },
        Watch::Io(io()),
        Watch::Silent { secs: 3.0 },
        Watch::Closed,
        Watch::Status(410),
        Watch::Unreadable("the head is too large"),
        Watch::NoList("expected value".into()),
    ];
    let place = |fault: &Watch| match fault {
        Watch::NoConnection { .. } => 0,
        Watch::Io(_) => 1,
        Watch::Silent { .. } => 2,
        Watch::Closed => 3,
        Watch::Status(_) => 4,
        Watch::Unreadable(_) => 5,
        Watch::NoList(_) => 6,
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
