use super::*;

const HEAD: &str = "seed = 1\ncoordinators = 3\nnodes = 4\nrate = 10.0\nspan = 20.0\n";

#[test]
fn faults_are_sorted_by_time() {
    let text = format!(
        "{HEAD}[[fault]]\nat = 9.0\nkind = \"heal\"\n[[fault]]\nat = 3.0\nkind = \"cut\"\nmembers = [0]\nnodes = [3]\n"
    );
    let scenario = read("s", &text).unwrap();
    let cut = Fault::Partition {
        members: vec![0],
        nodes: vec![3],
    };
    let timed = |at, fault| TimedFault { at, fault };
    assert_eq!(scenario.faults, [timed(3.0, cut), timed(9.0, Fault::Heal)]);
}

#[test]
fn errors_name_line_and_key() {
    let told = |more: &str| {
        read("s.toml", &format!("{HEAD}{more}"))
            .unwrap_err()
            .to_string()
    };
    let fault = |more: &str| told(&format!("[[fault]]\nat = 3.0\n{more}\n"));
    assert_eq!(
        fault("kind = \"quake\""),
        "s.toml:8: 'kind': 'quake' is no kind of fault"
    );
    assert_eq!(
        fault("kind = \"kill\"\nmembers = [0, 3]"),
        "s.toml:9: 'members': there is no 3: they count from 0"
    );
    assert_eq!(
        fault("kind = \"loss\"\nloss = 1.5"),
        "s.toml:9: 'loss': 1.5 is not from 0 to under 1"
    );
    assert_eq!(
        told("[[fault]]\nat = 30.0\nkind = \"heal\""),
        "s.toml:7: 'at': 30 is not within the span"
    );
    assert!(fault("kind = \"heal\"\nhow = 3").starts_with("s.toml:9: unknown field `how`"));
    let none = read("s", &HEAD.replace("= 3", "= 0")).unwrap_err();
    assert_eq!(
        none.to_string(),
        "s:2: 'coordinators': 0 is not from 1 to 500"
    );
    assert!(!none.help().is_empty());
    assert!(load(Path::new("/no/such"))
        .unwrap_err()
        .to_string()
        .starts_with("/no/such: "));
}
