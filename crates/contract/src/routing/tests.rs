use super::{PathVariable, RouteMatch, Router, Template};

fn router(paths: &[&str]) -> Router {
    let mut router = Router::default();
    for (at, path) in paths.iter().enumerate() {
        router.add(&Template::parse(path).unwrap(), "get", at);
    }
    router
}

#[test]
fn the_most_concrete_template_wins_in_any_order() {
    let paths = [
        "/{a}/{b}",
        "/{a}/_search",
        "/stock/{b}",
        "/stock/_search",
        "/{a}/x-{b}",
    ];
    for turn in 0..paths.len() {
        let mut turned = paths;
        turned.rotate_left(turn);
        let router = router(&turned);
        for (path, wins) in [
            ("/stock/_search", "/stock/_search"),
            ("/other/_search", "/{a}/_search"),
            ("/stock/x", "/stock/{b}"),
            ("/other/x-1", "/{a}/x-{b}"),
            ("/other/x", "/{a}/{b}"),
        ] {
            let RouteMatch::Operation(at, _) = router.find("GET", path) else {
                panic!("{path}")
            };
            assert_eq!(turned[at], wins, "{path}");
        }
    }
}

#[test]
fn variables_match_complete_parts_and_never_empty_text() {
    let router = router(&["/files/{name}.json", "/{a}"]);
    let RouteMatch::Operation(0, variables) = router.find("GET", "/files/a.b.json") else {
        panic!()
    };
    let expected = PathVariable {
        name: "name",
        value: "a.b",
    };
    assert_eq!(variables, [expected]);
    assert_eq!(router.find("GET", "/files/.json"), RouteMatch::Nothing);
    assert_eq!(router.find("GET", "/"), RouteMatch::Nothing);
    assert_eq!(
        router.find("POST", "/x"),
        RouteMatch::OtherMethods(vec!["GET"])
    );
}

#[test]
fn an_invalid_template_says_why() {
    for (path, cause) in [
        ("a", "expected a path that begins with '/'"),
        ("/{a", "without a closing '}'"),
        ("/a}", "without an opening '{'"),
        ("/{}", "expected a variable name"),
        ("/{a}/{a}", "duplicate path variable {a}"),
        ("/{a}{b}", "adjacent path variables"),
    ] {
        assert!(
            Template::parse(path)
                .unwrap_err()
                .to_string()
                .contains(cause),
            "{path}"
        );
    }
}
