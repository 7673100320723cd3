//! Plays a short experiment from its file to its report, with every node behavior over both protocols, and tests that
//! invalid files are rejected.

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
    let output = command
        .arg("run")
        .arg(folder.join("experiment.toml"))
        .arg("--out")
        .arg(&out)
        .output()
        .unwrap();
    (output, out)
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

/// Guards against a testbed that can't complete an experiment, and against a coordinator that causes violations under any
/// node behavior.
#[test]
fn all_node_behaviors_over_both_protocols_show_no_violations_and_are_reported() {
    for wire in ["frames", "opensearch"] {
        let (output, out) = run(wire, &experiment(wire));
        let text_output = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{wire}: {text_output}");
        assert!(
            text_output.contains("within noise"),
            "one repeat is too few for a finite interval: {text_output}"
        );
        let csv = std::fs::read_to_string(out.join("runs.csv")).unwrap();
        assert_eq!(csv.lines().count(), 3, "{csv}");
        let page = std::fs::read_to_string(out.join("report.html")).unwrap();
        assert_eq!(page.matches("<svg").count(), 2, "one plot per class");
        let summary = std::fs::read_to_string(out.join("summary.json")).unwrap();
        assert!(summary.contains("\"more, then fewer\""));
        let log = std::fs::read_to_string(out.join("more, then fewer-0/log.txt")).unwrap();
        assert!(log.contains("endpoint list in force generation=3"), "{log}");
    }
}

#[test]
fn invalid_files_are_rejected_with_their_cause() {
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
    for (name, text, expected) in cases {
        let (output, _) = run(name, &text);
        let text_output = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{name}: {text_output}");
        assert!(text_output.contains(expected), "{name}: {text_output}");
    }
}
