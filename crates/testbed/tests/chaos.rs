//! Many processes of the program under faults between them, and a checker that is not blind.

use std::path::Path;
use std::process::{Command, Output};

fn chaos(scenario: &str) -> Output {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(scenario);
    Command::new(env!("CARGO_BIN_EXE_cairnroad-testbed"))
        .arg("chaos")
        .arg(path)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Cuts, stops, kills, resets, a roll and loss, with clients on: every request of a living process has one final answer,
/// no confirm runs twice, a removed data node gets nothing, and every view is right in time after each fault.
#[test]
fn twelve_processes_under_faults_break_no_rule_and_see_who_is_there() {
    let output = chaos("twelve.toml");
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("0 violations"), "{}", text(&output));
}

/// A planted fault is found: else the test above would show nothing.
#[test]
fn a_data_node_that_lies_is_found() {
    let output = chaos("lie.toml");
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(
        text(&output).contains("values that no server made for it"),
        "{}",
        text(&output)
    );
}

#[test]
fn a_faulty_scenario_is_told_by_file_line_and_key() {
    let folder = std::env::temp_dir().join(format!("cairnroad-chaos-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("bad.toml");
    std::fs::write(&path, "seed = 1\ncoordinators = 2\nnodes = 2\nrate = 1.0\nspan = 2.0\n[[fault]]\nat = 1.0\nkind = \"fire\"\n")
        .unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_cairnroad-testbed"))
        .arg("chaos")
        .arg(&path)
        .output()
        .unwrap();
    let told = text(&output);
    assert!(
        told.contains(&format!(
            "{}:8: 'kind': 'fire' is no kind of fault",
            path.display()
        )),
        "{told}"
    );
    assert!(told.contains("help: "), "{told}");
    assert_eq!(output.status.code(), Some(2));
    std::fs::remove_dir_all(&folder).unwrap();
}
