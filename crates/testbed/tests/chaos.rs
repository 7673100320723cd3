//! Runs many coordinator processes with injected faults, and tests that the checker detects violations.

use std::path::Path;
use std::process::{Command, Output};

fn run_scenario(scenario: &str) -> Output {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(scenario);
    Command::new(env!("CARGO_BIN_EXE_cairnroad-testbed"))
        .arg("chaos")
        .arg(path)
        .output()
        .unwrap()
}

fn combined_output(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Under client load, with partitions, stops, kills, resets, a rolling restart and datagram loss: every request to a
/// running process gets one final answer, no confirm runs twice, a removed data node receives no parts, and every
/// membership view is correct within the settling time of each fault.
#[test]
fn twelve_processes_under_faults_show_no_violations_and_correct_views() {
    let output = run_scenario("twelve.toml");
    assert!(output.status.success(), "{}", combined_output(&output));
    assert!(
        combined_output(&output).contains("0 violations"),
        "{}",
        combined_output(&output)
    );
}

/// Guards against parts of keyed confirms that are repeated without their key: data nodes can't drop the repeat.
#[test]
fn no_keyed_confirm_is_applied_twice_under_silent_nodes_resets_and_a_kill() {
    let output = run_scenario("keyed.toml");
    let text = combined_output(&output);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("0 violations"), "{text}");
    // Without a repeated part, a run without violations would prove nothing.
    let figure = text.split("\"dropped_repeats\":").nth(1).unwrap();
    let count = figure.trim_start().split([',', '\n']).next().unwrap();
    assert!(count.parse::<u64>().unwrap() > 0, "{text}");
}

/// Tests that the checker detects wrong values. Without that, a run without violations would prove nothing.
#[test]
fn wrong_values_of_a_data_node_are_detected() {
    let output = run_scenario("lie.toml");
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        combined_output(&output)
    );
    assert!(
        combined_output(&output).contains("values that no server made for it"),
        "{}",
        combined_output(&output)
    );
}

#[test]
fn errors_in_a_scenario_name_the_file_line_and_key() {
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
    let error_text = combined_output(&output);
    assert!(
        error_text.contains(&format!(
            "{}:8: 'kind': unknown kind of fault 'fire'",
            path.display()
        )),
        "{error_text}"
    );
    assert!(error_text.contains("help: "), "{error_text}");
    assert_eq!(output.status.code(), Some(2));
    std::fs::remove_dir_all(&folder).unwrap();
}
