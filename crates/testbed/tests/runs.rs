//! A short experiment from its file to its report, with every mood of nodes on both wires, and files that are wrong.

use std::path::PathBuf;
use std::process::{Command, Output};

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("cairnroad-testbed-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn run(name: &str, experiment: &str) -> (Output, PathBuf) {
    let folder = folder(name);
    std::fs::write(folder.join("experiment.toml"), experiment).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnroad-testbed"));
    let out = folder.join("out");
    let told = command
        .arg("run")
        .arg(folder.join("experiment.toml"))
        .arg("--out")
        .arg(&out)
        .output()
        .unwrap();
    (told, out)
}

fn experiment(wire: &str) -> String {
    format!(
        r#"
name = "every mood"
repeats = 1
[fleet]
nodes = 8
spare = 4
cells = 4
shards = 16
wire = "{wire}"
work_ms = [8.0, 6.0]
[load]
rate = 12.0
span = 4.0
query_front = 0.4
retries = 1
[[load.burst]]
at = 1.0
lasts = 1.0
times = 1.9
[[fault]]
at = 0.5
nodes = [0]
mood = "silent"
[[fault]]
at = 0.7
nodes = [1]
mood = "reset"
[[fault]]
at = 0.9
nodes = [2]
mood = "garbage"
[[fault]]
at = 1.1
nodes = [3]
mood = "refuse"
[[fault]]
at = 1.3
nodes = [4]
mood = "dead"
[[fault]]
at = 2.0
nodes = [0, 1, 2, 3, 4]
mood = "well"
[[fault]]
at = 2.2
nodes = [5]
slow = 6.0
[[variant]]
name = "as it is"
[[variant]]
name = "more, then fewer"
[[variant.roster]]
at = 1.5
nodes = 12
[[variant.roster]]
at = 2.5
nodes = 8
weights = [1, 2, 4, 1]
"#
    )
}

/// Guards against a laboratory that can't run, and against a coordinator that breaks a rule under any of its moods.
#[test]
fn every_mood_on_both_wires_breaks_no_rule_and_is_reported() {
    for wire in ["frames", "opensearch"] {
        let (told, out) = run(wire, &experiment(wire));
        let said = String::from_utf8_lossy(&told.stdout).into_owned()
            + &String::from_utf8_lossy(&told.stderr);
        assert_eq!(told.status.code(), Some(0), "{wire}: {said}");
        assert!(
            said.contains("within noise"),
            "one repeat proves nothing: {said}"
        );
        let csv = std::fs::read_to_string(out.join("runs.csv")).unwrap();
        assert_eq!(csv.lines().count(), 3, "{csv}");
        let page = std::fs::read_to_string(out.join("report.html")).unwrap();
        assert_eq!(page.matches("<svg").count(), 2, "a plot a class");
        let summary = std::fs::read_to_string(out.join("summary.json")).unwrap();
        assert!(summary.contains("\"more, then fewer\""));
        let log = std::fs::read_to_string(out.join("more, then fewer-0/log.txt")).unwrap();
        assert!(log.contains("endpoint list in force generation=3"), "{log}");
    }
}

#[test]
fn a_file_that_is_wrong_is_refused_with_its_cause() {
    let cases = [
        (
            "rate",
            experiment("frames").replace("rate = 12.0", "rat = 12.0"),
            "unknown field `rat`",
        ),
        (
            "wire",
            experiment("smoke"),
            "'smoke' is neither frames nor opensearch",
        ),
        (
            "mood",
            experiment("frames").replace("\"silent\"", "\"sad\""),
            "unknown variant `sad`",
        ),
        (
            "cells",
            experiment("frames").replace("cells = 4", "cells = 0"),
            "'cells' and 'shards' must be above 0",
        ),
        (
            "program",
            experiment("frames").replace(
                "name = \"as it is\"",
                "name = \"a\"\nprogram = \"/nowhere\"",
            ),
            "/nowhere: No such file",
        ),
    ];
    for (name, text, words) in cases {
        let (told, _) = run(name, &text);
        let said = String::from_utf8_lossy(&told.stderr).into_owned();
        assert_eq!(told.status.code(), Some(2), "{name}: {said}");
        assert!(said.contains(words), "{name}: {said}");
    }
}
