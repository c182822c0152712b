//! Client requests over FastCGI: decoding does not depend on how the bytes are split, and invalid requests are
//! rejected.
use bytes::{Bytes, BytesMut};
use pointspindle_platform_protocol::client_request::{
    parse, ClassRules, ClientMessage, ClientRequest, ClientRequestError,
};
use pointspindle_platform_protocol::fastcgi::*;
use pointspindle_platform_protocol::request_assembly::{
    RecordOutcome, RequestAssembler, SessionError, MAX_BODY_BYTES, MAX_OPEN_REQUESTS,
};
use std::time::{Duration, Instant};
use tokio_util::codec::Decoder;

const BEGIN: [u8; 8] = [0, 1, KEEP_CONN, 0, 0, 0, 0, 0];

fn params(fields: &[(&str, &str)]) -> BytesMut {
    let mut out = BytesMut::new();
    fields
        .iter()
        .for_each(|(n, v)| write_pair(&mut out, n.as_bytes(), v.as_bytes()));
    out
}

fn unfinished_request(id: u16, fields: &[(&str, &str)], body: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    write_record(&mut out, BEGIN_REQUEST, id, &BEGIN);
    if !fields.is_empty() {
        write_record(&mut out, PARAMS, id, &params(fields));
    }
    write_record(&mut out, PARAMS, id, &[]);
    if !body.is_empty() {
        write_record(&mut out, STDIN, id, body);
    }
    out
}

fn complete_request(id: u16, fields: &[(&str, &str)], body: &[u8]) -> BytesMut {
    let mut out = unfinished_request(id, fields, body);
    write_record(&mut out, STDIN, id, &[]);
    out
}

/// Returns the outcomes of bytes that arrive in these pieces, except [`RecordOutcome::Pending`].
fn feed<'a>(
    assembler: &mut RequestAssembler,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Vec<RecordOutcome>, String> {
    let (mut codec, mut buffer, mut outcomes) =
        (RecordCodec::default(), BytesMut::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(record) = codec.decode(&mut buffer).map_err(|e| e.to_string())? {
            let outcome = assembler.handle(record, Instant::now());
            outcomes.push(outcome.map_err(|e| e.to_string())?);
        }
    }
    outcomes.retain(|outcome| *outcome != RecordOutcome::Pending);
    Ok(outcomes)
}

#[test]
fn request_assembler_split_input_gives_same_requests() {
    // The length of a value of 128 bytes or more is encoded in four bytes.
    let long = "x".repeat(300);
    let mut bytes = unfinished_request(1, &[("A", "1"), ("LONG", &long)], b"");
    // The records of the second request are interleaved with those of the first; it is complete first.
    bytes.extend(complete_request(2, &[("B", "2")], b"body of two"));
    write_record(&mut bytes, STDIN, 1, b"in ");
    write_record(&mut bytes, STDIN, 1, b"parts");
    write_record(&mut bytes, STDIN, 1, &[]);
    let at_once = feed(&mut RequestAssembler::default(), [&bytes[..]]).unwrap();
    let summary = |outcome: &RecordOutcome| match outcome {
        RecordOutcome::Complete {
            id,
            params,
            body,
            keep_alive: true,
        } => (*id, decode_pairs(params).unwrap().len(), body.clone()),
        other => panic!("{other:?}"),
    };
    let summaries: Vec<_> = at_once.iter().map(summary).collect();
    assert_eq!(
        summaries,
        [
            (2, 1, Bytes::from("body of two")),
            (1, 2, Bytes::from("in parts"))
        ]
    );
    for cut in 1..bytes.len() {
        let (a, b) = bytes.split_at(cut);
        assert_eq!(
            feed(&mut RequestAssembler::default(), [a, b]).unwrap(),
            at_once,
            "cut at {cut}"
        );
    }
    assert_eq!(
        feed(&mut RequestAssembler::default(), bytes.chunks(1)).unwrap(),
        at_once
    );
}

#[test]
fn request_assembler_protocol_violation_ends_session() {
    let session_error = |bytes: &[u8]| feed(&mut RequestAssembler::default(), [bytes]).unwrap_err();
    assert!(session_error(b"GET / HTTP/1.1\r\n\r\n").contains("version 71"));
    let mut duplicate_id = unfinished_request(7, &[], b"");
    write_record(&mut duplicate_id, BEGIN_REQUEST, 7, &BEGIN);
    assert_eq!(
        session_error(&duplicate_id),
        SessionError::DuplicateId.to_string()
    );
    let mut zero_id = BytesMut::new();
    write_record(&mut zero_id, BEGIN_REQUEST, 0, &BEGIN);
    assert_eq!(
        session_error(&zero_id),
        SessionError::MalformedBegin.to_string()
    );
    // Body bytes for a request that is already complete, beyond the limit on discarded bytes.
    let mut excess_body = complete_request(1, &[], b"");
    (0..20).for_each(|_| write_record(&mut excess_body, STDIN, 1, &[0; 60_000]));
    assert_eq!(
        session_error(&excess_body),
        SessionError::TooMuchDiscarded.to_string()
    );
}

#[test]
fn request_assembler_oversized_request_is_rejected_once() {
    let mut assembler = RequestAssembler::default();
    let mut bytes = unfinished_request(1, &[], &[0; MAX_BODY_BYTES]);
    write_record(&mut bytes, STDIN, 1, &[0]);
    write_record(&mut bytes, STDIN, 1, &[0; 1000]);
    write_record(&mut bytes, BEGIN_REQUEST, 2, &BEGIN);
    write_record(&mut bytes, PARAMS, 2, &[0; 60_000]);
    let outcomes = feed(&mut assembler, [&bytes[..]]).unwrap();
    assert!(
        matches!(
            outcomes[..],
            [
                RecordOutcome::Invalid { id: 1, .. },
                RecordOutcome::Invalid { id: 2, .. }
            ]
        ),
        "{outcomes:?}"
    );
    assert_eq!(assembler.open_count(), 0);
}

/// Guards against a connection that is closed because records of requests that were ended early are still on their way:
/// other clients may share it.
#[test]
fn records_of_dropped_requests_do_not_end_the_session() {
    let mut assembler = RequestAssembler::default();
    for id in 1..=MAX_OPEN_REQUESTS as u16 {
        feed(&mut assembler, [&unfinished_request(id, &[], b"start")[..]]).unwrap();
    }
    assert_eq!(assembler.drop_incomplete().len(), MAX_OPEN_REQUESTS);
    let mut rest = BytesMut::new();
    for id in 1..=MAX_OPEN_REQUESTS as u16 {
        write_record(&mut rest, STDIN, id, &[0; MAX_BODY_BYTES - 5]);
        write_record(&mut rest, STDIN, id, &[]);
    }
    assert_eq!(feed(&mut assembler, [&rest[..]]).unwrap(), []);
    // The allowance ends with the stream: more records of the same request count.
    let mut endless = BytesMut::new();
    (0..10).for_each(|_| write_record(&mut endless, STDIN, 1, &[0; MAX_BODY_BYTES]));
    assert_eq!(
        feed(&mut assembler, [&endless[..]]).unwrap_err(),
        SessionError::TooMuchDiscarded.to_string()
    );
}

/// Guards against floods of records that belong to no request and that nothing ends, and against a connection with many
/// clients that ends because a few such records come with each request.
#[test]
fn records_of_no_request_end_the_session_unless_complete_requests_prevail() {
    const RECORDS: usize = 40_000;
    let begin_beyond_limit = |out: &mut BytesMut| write_record(out, BEGIN_REQUEST, 99, &BEGIN);
    let floods: [&dyn Fn(&mut BytesMut); 3] = [
        &|out| write_record(out, ABORT_REQUEST, 99, &[]),
        &|out| write_record(out, GET_VALUES, 0, &[]),
        &begin_beyond_limit,
    ];
    for write_flood_record in floods {
        let mut assembler = RequestAssembler::default();
        for id in 1..=MAX_OPEN_REQUESTS as u16 {
            feed(&mut assembler, [&complete_request(id, &[], b"")[..]]).unwrap();
        }
        let mut flood = BytesMut::new();
        (0..RECORDS).for_each(|_| write_flood_record(&mut flood));
        assert_eq!(
            feed(&mut assembler, [&flood[..]]).unwrap_err(),
            SessionError::TooMuchDiscarded.to_string()
        );
    }
    let mut assembler = RequestAssembler::default();
    for _ in 0..RECORDS {
        let mut bytes = complete_request(1, &[], b"");
        write_record(&mut bytes, ABORT_REQUEST, 2, &[]);
        feed(&mut assembler, [&bytes[..]]).unwrap();
        assembler.finish(1);
    }
}

/// Guards against one time-out for all requests of a connection: only those that began too long ago are dropped.
#[test]
fn incomplete_requests_are_dropped_by_their_own_age() {
    let mut assembler = RequestAssembler::default();
    let started_at = Instant::now();
    for (id, age_ms) in [(1, 0), (2, 500), (3, 900)] {
        let begun_at = started_at + Duration::from_millis(age_ms);
        let record = Record {
            record_type: BEGIN_REQUEST,
            id,
            content: Bytes::from_static(&BEGIN),
            received_bytes: BEGIN.len(),
        };
        assembler.handle(record, begun_at).unwrap();
    }
    assert_eq!(assembler.oldest_incomplete_begun_at(), Some(started_at));
    let by = started_at + Duration::from_millis(500);
    assert_eq!(assembler.drop_incomplete_begun_by(by), [1, 2]);
    assert_eq!(assembler.incomplete_count(), 1);
}

#[test]
fn request_assembler_at_open_limit_rejects_until_one_finishes() {
    let mut assembler = RequestAssembler::default();
    for id in 1..=MAX_OPEN_REQUESTS as u16 {
        feed(&mut assembler, [&complete_request(id, &[], b"")[..]]).unwrap();
    }
    let feed_request = |assembler: &mut RequestAssembler, id| {
        feed(assembler, [&complete_request(id, &[], b"")[..]]).unwrap()
    };
    assert_eq!(
        feed_request(&mut assembler, 99),
        [RecordOutcome::TooManyOpen { id: 99 }]
    );
    assembler.finish(5);
    assert!(matches!(
        feed_request(&mut assembler, 99)[..],
        [RecordOutcome::Complete { id: 99, .. }]
    ));
}

#[test]
fn abort_record_cancels_only_the_named_request() {
    let mut assembler = RequestAssembler::default();
    let mut bytes = complete_request(1, &[], b"");
    bytes.extend(unfinished_request(2, &[], b""));
    for id in [1, 2, 3] {
        write_record(&mut bytes, ABORT_REQUEST, id, &[]);
    }
    let outcomes = feed(&mut assembler, [&bytes[..]]).unwrap();
    let aborted = [
        RecordOutcome::Aborted {
            id: 1,
            was_complete: true,
        },
        RecordOutcome::Aborted {
            id: 2,
            was_complete: false,
        },
    ];
    assert_eq!(outcomes[1..], aborted);
    assert_eq!(
        assembler.open_count(),
        1,
        "the aborted request that was complete stays open until `finish`"
    );
}

/// Requests that are never removed would fill the table of open requests over the life of a connection.
#[test]
fn request_assembler_many_requests_retains_only_open_ones() {
    let mut assembler = RequestAssembler::default();
    for n in 0..100_000_u32 {
        let id = (n % 60_000) as u16 + 1;
        let outcomes = feed(
            &mut assembler,
            [&complete_request(id, &[("A", "1")], b"x")[..]],
        )
        .unwrap();
        assert!(matches!(outcomes[..], [RecordOutcome::Complete { .. }]));
        assembler.finish(id);
        assert_eq!(assembler.open_count(), 0);
    }
}

fn classes() -> Vec<ClassRules> {
    let rules = |name: &str, is_write| ClassRules {
        name: name.into(),
        requires_key: is_write,
        is_write,
        deadline_ms: 3_000,
    };
    vec![rules("page", false), rules("submit", true)]
}

const TXN: &str = "9b1f03aa5c7e2d41";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Parses a valid request with some of its params replaced or added; an empty value removes the param.
fn parse_with(
    changes: &[(&'static str, &'static str)],
    body: &[u8],
) -> Result<ClientMessage, ClientRequestError> {
    let mut fields = vec![
        ("SCRIPT_NAME", "/ops/page"),
        ("HTTP_X_TXN", TXN),
        ("HTTP_X_ROW", "7f3a9c21e0b4d655"),
        ("HTTP_X_TTL_MS", "1500"),
        ("HTTP_X_NTH", "3"),
        ("HTTP_X_BATCH", "17"),
        ("REQUEST_METHOD", "GET"),
    ];
    for (name, value) in changes {
        fields.retain(|(n, _)| n != name);
        if !value.is_empty() {
            fields.push((name, value));
        }
    }
    parse(&params(&fields).freeze(), body, &classes())
}

#[test]
fn client_request_valid_params_are_parsed() {
    let accepted = |message: Result<ClientMessage, ClientRequestError>| match message {
        Ok(ClientMessage::Request(request)) => request,
        other => panic!("{other:?}"),
    };
    let plain = accepted(parse_with(&[], b""));
    let expected = ClientRequest {
        transaction_id: TXN.into(),
        class: 0,
        timeout_ms: 1500,
        idempotency_key: String::new(),
        object: "7f3a9c21e0b4d655".into(),
        part: 3,
        group: 17,
        client_validator: String::new(),
    };
    assert_eq!(plain, expected);
    let write = [
        ("SCRIPT_NAME", "/ops/submit"),
        ("HTTP_X_TXN_KEY", KEY),
        ("CONTENT_LENGTH", "4"),
    ];
    let write = accepted(parse_with(&write, b"body"));
    assert_eq!((write.class, &write.idempotency_key[..]), (1, KEY));
    assert_eq!(
        accepted(parse_with(&[("HTTP_X_GOT", "4be0c1927d55a6f3")], b"")).client_validator,
        "4be0c1927d55a6f3"
    );
    assert_eq!(
        parse_with(&[("SCRIPT_NAME", "/alive")], b""),
        Ok(ClientMessage::HealthCheck)
    );
}

#[test]
fn client_request_invalid_params_are_rejected() {
    let bad: &[&[(&str, &str)]] = &[
        &[("SCRIPT_NAME", "/ops/none")],
        &[("SCRIPT_NAME", "/")],
        &[("HTTP_X_TXN", "")],
        &[("HTTP_X_TXN", "short")],
        &[("HTTP_X_TXN", "9b1f03aa5c7e2d4 ")],
        &[("HTTP_X_ROW", "a,b=c\r\nKILL xxxx")],
        &[("HTTP_X_TTL_MS", "")],
        &[("HTTP_X_TTL_MS", "0")],
        &[("HTTP_X_TTL_MS", "-5")],
        &[("HTTP_X_TTL_MS", "soon")],
        &[("HTTP_X_TTL_MS", "99999999")],
        &[("HTTP_X_TTL_MS", "99999999999999999999999")],
        &[("HTTP_X_NTH", "-1")],
        &[("HTTP_X_NTH", "1e3")],
        &[("HTTP_X_BATCH", "256")],
        &[("HTTP_X_GOT", "\"4be0\"")],
        &[("HTTP_X_SECOND_TRY", "2")],
        &[("CONTENT_LENGTH", "-1")],
        &[("CONTENT_LENGTH", "5")],
        &[("SCRIPT_NAME", "/ops/submit")],
        &[("SCRIPT_NAME", "/ops/submit"), ("HTTP_X_TXN_KEY", "short")],
    ];
    for changes in bad {
        assert!(parse_with(changes, b"").is_err(), "{changes:?}");
    }
    assert!(parse_with(&[], b"a body").is_err());
    assert!(
        parse(&Bytes::from_static(&[200, 0, 0]), b"", &classes()).is_err(),
        "a length exceeds the params"
    );
    let twice = params(&[("SCRIPT_NAME", "/ops/page"), ("SCRIPT_NAME", "/ops/page")]).freeze();
    assert!(parse(&twice, b"", &classes()).is_err());
}
