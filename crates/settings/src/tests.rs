use crate::parse;
use cairnroad_types::Idempotency;

const TEXT: &str = r#"{"classes": [{"aimS": 1.0, "deadlineS": 3.0, "effect": "deduplicated", "value": 2.0,
    "lateShare": 0.1, "dedupWindowS": 4.0}], "groupSize": 2, "registryMode": "on_request", "tickS": 0.005,
    "extra": {"positions": 5, "span": 2, "needByClass": [0.75], "minShare": [0.5], "partialEarns": [0.8],
    "fetchParts": [3]}, "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "retryAfter": false,
    "maxRetryAfterS": 0.5}, "safety": {"mustAskInS": 10.0, "budgetFree": 10, "resendRatio": 0.1,
    "lookBackS": 10.0, "coldFrom": 0.2, "warmUpS": 16.0, "stopSendingWithinS": 0.5, "fallMultiple": 3.0,
    "fallS": 1.5}, "unheardOf": 1}"#;

#[test]
fn settings_are_parsed_and_unknown_keys_ignored() {
    let settings = parse(TEXT.as_bytes()).unwrap().policy;
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::IdempotentWithKey
    );
    assert_eq!(
        (
            settings.classes[0].minimum_share,
            settings.classes[0].second_step_parts
        ),
        (0.5, 3)
    );
    assert_eq!(
        (settings.max_poll_interval, settings.max_retry_after),
        (Some(10.0), None)
    );
    assert_eq!(settings.retry_budget.unwrap().window, 10.0);
}

#[test]
fn errors_name_the_faulty_key() {
    assert!(parse(b"{")
        .unwrap_err()
        .to_string()
        .starts_with("settings: "));
    for key in ["aimS", "tickS", "positions", "coldFrom", "attemptsCap"] {
        let text = TEXT.replace(&format!("\"{key}\""), "\"other\"");
        assert!(
            parse(text.as_bytes())
                .unwrap_err()
                .to_string()
                .contains(key),
            "{key}"
        );
    }
    for (key, valid) in [("aimS", "1.0"), ("deadlineS", "3.0"), ("attemptsCap", "3")] {
        for invalid in ["0", "-5"] {
            let text = TEXT.replace(
                &format!("\"{key}\": {valid}"),
                &format!("\"{key}\": {invalid}"),
            );
            assert_ne!(text, TEXT);
            assert!(parse(text.as_bytes()).is_err(), "{key} {invalid}");
        }
    }
    let text = TEXT.replace("deduplicated", "sometimes");
    assert!(parse(text.as_bytes())
        .unwrap_err()
        .to_string()
        .contains("'sometimes'"));
    let text = TEXT.replace("\"aimS\": 1.0", "\"aimS\": \"soon\"");
    assert!(parse(text.as_bytes())
        .unwrap_err()
        .to_string()
        .starts_with("settings: classes[0].aimS: "));
    let text = TEXT.replace("[0.75]", "[]");
    assert!(parse(text.as_bytes())
        .unwrap_err()
        .to_string()
        .contains("needByClass"));
}

#[test]
fn health_checks_need_permission_and_an_in_flight_count_in_the_load_report() {
    assert_eq!(
        parse(TEXT.as_bytes())
            .unwrap()
            .policy
            .in_flight_report_index,
        None
    );
    let names = r#""report": {"how": "pull", "names": ["util", "inflight"]}, "unheardOf""#;
    let with_report = TEXT.replace("\"unheardOf\"", names);
    assert_eq!(
        parse(with_report.as_bytes())
            .unwrap()
            .policy
            .in_flight_report_index,
        None,
        "health checks are not allowed without caps.probes"
    );
    let allowed = with_report.replace("\"cancel\": true", "\"cancel\": true, \"probes\": true");
    assert_eq!(
        parse(allowed.as_bytes())
            .unwrap()
            .policy
            .in_flight_report_index,
        Some(1)
    );
}
