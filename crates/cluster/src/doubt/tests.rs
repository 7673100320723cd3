use super::*;

#[test]
fn doubt_comes_fast_and_goes_by_answers() {
    let mut doubt = Doubt::default();
    doubt.note(Sign::Answered);
    assert_eq!((doubt.score(), doubt.stretch()), (0, 1));
    doubt.note(Sign::Late);
    doubt.note(Sign::Suspected);
    assert!(!doubt.is_too_much());
    doubt.note(Sign::Unheard);
    assert!(doubt.is_too_much());
    for _ in 0..20 {
        doubt.note(Sign::Late);
    }
    assert_eq!((doubt.score(), doubt.stretch()), (MOST, MOST_STRETCH));
    for _ in 0..20 {
        doubt.note(Sign::Answered);
    }
    assert_eq!(doubt, Doubt::default());
}
