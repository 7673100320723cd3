use super::batch::{endpoint_update, parse_record, Batch, Record};
use super::fields::Fields;
use super::{read_frame, Reply};
use cairnroad_types::{Action, Event, Outcome, RequestId, ServerId, ServerState, Time};

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|c| u8::from_str_radix(std::str::from_utf8(c).unwrap(), 16).unwrap())
        .collect()
}

/// A hand-encoded batch at 1.5 s: a part of shard 2 for instance 3, the outcome of its attempt, and a timer.
const BATCH: &str = "03000000 70000000 000000000000f83f
    03 35000000 0300 0500000000000000 0100 00 00000040 0000000000000440 0000000000000000
       0000000000000000 0000003f 00000000 00000041
    05 1a000000 0300 0500000000000000 02 01 07000000 000000000000e03f 01 00
    07 0a000000 0300 0000000000000000";

#[test]
fn a_hand_encoded_batch_is_decoded() {
    let input = bytes(BATCH);
    let body = read_frame(&mut &input[..]).unwrap().unwrap();
    let batch = Batch::parse(&body).unwrap();
    assert_eq!(batch.now, 1.5);
    let events: Vec<String> = batch
        .records
        .iter()
        .map(|record| match record {
            Record::Event { instance: 3, event } => format!("{event:?}"),
            _ => panic!("an event of instance 3 was expected"),
        })
        .collect();
    assert_eq!(
        events[0],
        "Part { id: RequestId(5), query_number: 8, shard: 2, weight: 0.5 }"
    );
    assert_eq!(
        events[1],
        "AttemptEnded { part: RequestId(5), attempt: 1, outcome: Rejected }"
    );
    assert_eq!(events[2], "TimerFired");
}

#[test]
fn truncated_input_and_unknown_codes_are_reported() {
    let input = bytes(BATCH);
    assert!(read_frame(&mut &input[..0]).unwrap().is_none());
    for cut in 1..input.len() {
        assert!(
            read_frame(&mut &input[..cut])
                .unwrap_err()
                .to_string()
                .contains("truncated"),
            "cut at {cut}"
        );
    }
    let mut body = read_frame(&mut &input[..]).unwrap().unwrap();
    body[12] = 99;
    assert_eq!(
        Batch::parse(&body).err().unwrap().to_string(),
        "record 0, code 99: unknown event"
    );
    body[12] = 3;
    body.truncate(40);
    assert!(Batch::parse(&body)
        .err()
        .unwrap()
        .to_string()
        .starts_with("record 0, truncated"));
}

#[test]
fn actions_are_encoded_as_the_protocol_description_states() {
    let mut reply = Reply::default();
    let deadline = Time::from_secs(1.5);
    reply.push(
        3,
        &Action::Send {
            part: RequestId(5),
            server: ServerId(7),
            deadline,
        },
    );
    reply.push(
        3,
        &Action::Answer {
            query: RequestId(4),
            is_complete: true,
        },
    );
    reply.push(
        3,
        &Action::Reject {
            query: RequestId(4),
            retry_after: Some(0.5),
        },
    );
    let expected = "46000000 03000000
        01 16000000 0300 0500000000000000 07000000 000000000000f83f
        0d 0b000000 0300 0400000000000000 01
        02 12000000 0300 0400000000000000 000000000000e03f";
    assert_eq!(reply.finish(), bytes(expected));
}

#[test]
fn an_endpoint_is_decoded_and_an_absent_time_is_none() {
    let page = bytes("02 01000000 0900000001000004000300008 03f0000000000000000");
    let Record::Page {
        buffer: 2,
        endpoints,
    } = parse_record(11, Fields(&page)).unwrap()
    else {
        panic!()
    };
    assert_eq!(endpoints[0].server, ServerId(9));
    assert_eq!(
        (endpoints[0].cell, endpoints[0].state, endpoints[0].ready_at),
        (4, ServerState::Draining, None)
    );
    assert!(endpoint_update(3, None).is_none() && endpoint_update(9, Some(endpoints)).is_none());
}

#[test]
fn health_checks_are_encoded_and_their_load_reports_decoded() {
    let mut reply = Reply::default();
    reply.push(3, &Action::HealthCheck(ServerId(7)));
    assert_eq!(
        reply.finish(),
        bytes("0f000000 01000000 06 06000000 0300 07000000")
    );
    let health = bytes("0300 07000000 000000000000e03f 01 02 0000e040 0000003f");
    let Record::Event { instance: 3, event } = parse_record(8, Fields(&health)).unwrap() else {
        panic!()
    };
    let Event::HealthCheckEnded {
        server,
        outcome,
        report,
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(
        (server, outcome, report),
        (ServerId(7), Outcome::Ok, vec![7.0, 0.5])
    );
}
