use super::*;

fn names(texts: &[&str]) -> Result<Vec<String>, MemberNamesError> {
    let texts: Vec<String> = texts.iter().map(|text| text.to_string()).collect();
    parse(&texts).map(|names| names.into_iter().collect())
}

#[test]
fn names_and_ranges_are_parsed() {
    assert_eq!(
        names(&["b", "a[1-3]x", "n[9-10]"]).unwrap(),
        ["a1x", "a2x", "a3x", "b", "n10", "n9"]
    );
}

#[test]
fn invalid_names_are_rejected_with_their_cause() {
    assert_eq!(names(&[]), Err(MemberNamesError::Empty));
    assert_eq!(
        names(&["a b"]),
        Err(MemberNamesError::InvalidName("a b".into()))
    );
    assert_eq!(
        names(&[&"x".repeat(65)]),
        Err(MemberNamesError::InvalidName("x".repeat(65)))
    );
    for text in ["n[3-1]", "n[1-", "n[a-b]", "n[1]", "n[1-99999999999]"] {
        assert_eq!(
            names(&[text]),
            Err(MemberNamesError::InvalidRange(text.into()))
        );
    }
    assert_eq!(
        names(&["n[1-3]", "n2"]),
        Err(MemberNamesError::DuplicateName("n2".into()))
    );
    assert_eq!(
        names(&["n[0-4000000000]"]),
        Err(MemberNamesError::TooManyNames)
    );
}
