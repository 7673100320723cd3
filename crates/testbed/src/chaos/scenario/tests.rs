use super::*;

const HEAD: &str = "seed = 1\ncoordinators = 3\nnodes = 4\nrate = 10.0\nspan = 20.0\n";

#[test]
fn faults_are_sorted_by_time() {
    let text = format!(
        "{HEAD}[[fault]]\nat = 9.0\nkind = \"heal\"\n[[fault]]\nat = 3.0\nkind = \"cut\"\nmembers = [0]\nnodes = [3]\n"
    );
    let scenario = parse("s", &text).unwrap();
    let partition = Fault::Partition {
        members: vec![0],
        nodes: vec![3],
    };
    let timed = |at, fault| TimedFault { at, fault };
    assert_eq!(
        scenario.faults,
        [timed(3.0, partition), timed(9.0, Fault::Heal)]
    );
}

#[test]
fn errors_name_the_line_and_the_key() {
    let error_text = |more: &str| {
        parse("s.toml", &format!("{HEAD}{more}"))
            .unwrap_err()
            .to_string()
    };
    let fault = |more: &str| error_text(&format!("[[fault]]\nat = 3.0\n{more}\n"));
    assert_eq!(
        fault("kind = \"quake\""),
        "s.toml:8: 'kind': unknown kind of fault 'quake'"
    );
    assert_eq!(
        fault("kind = \"kill\"\nmembers = [0, 3]"),
        "s.toml:9: 'members': expected indices from 0 to 2, found 3"
    );
    assert_eq!(
        fault("kind = \"loss\"\nloss = 1.5"),
        "s.toml:9: 'loss': expected a share from 0 to under 1, found 1.5"
    );
    assert_eq!(
        error_text("[[fault]]\nat = 30.0\nkind = \"heal\""),
        "s.toml:7: 'at': expected a time from 0 to under the span of 20 s, found 30"
    );
    assert!(fault("kind = \"heal\"\nhow = 3").starts_with("s.toml:9: unknown field `how`"));
    let no_coordinators = parse("s", &HEAD.replace("= 3", "= 0")).unwrap_err();
    assert_eq!(
        no_coordinators.to_string(),
        "s:2: 'coordinators': expected a number from 1 to 500, found 0"
    );
    assert!(!no_coordinators.help().is_empty());
    assert!(load(Path::new("/no/such"))
        .unwrap_err()
        .to_string()
        .starts_with("/no/such: "));
}
