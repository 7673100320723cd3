use super::*;

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
fn variables_take_whole_pieces_and_never_nothing() {
    let router = router(&["/files/{name}.json", "/{a}"]);
    let RouteMatch::Operation(0, values) = router.find("GET", "/files/a.b.json") else {
        panic!()
    };
    assert_eq!(values, [("name", "a.b")]);
    assert_eq!(router.find("GET", "/files/.json"), RouteMatch::Nothing);
    assert_eq!(router.find("GET", "/"), RouteMatch::Nothing);
    assert_eq!(
        router.find("POST", "/x"),
        RouteMatch::OtherMethods(vec!["GET"])
    );
}

#[test]
fn templates_that_cannot_be_read_say_why() {
    for (path, cause) in [
        ("a", "begin with '/'"),
        ("/{a", "without its '}'"),
        ("/a}", "without its '{'"),
        ("/{}", "needs a name"),
        ("/{a}/{a}", "twice"),
        ("/{a}{b}", "side by side"),
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
