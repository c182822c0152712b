//! Clients' records: what good ones say however they are cut, and what becomes of bad ones.
use bytes::{Bytes, BytesMut};
use pointspindle_platform_protocol::asked::{read, Asked, ClassForm, Question};
use pointspindle_platform_protocol::fastcgi::*;
use pointspindle_platform_protocol::requests::{Broken, Requests, Told, BODY_MOST, OPEN_MOST};
use tokio_util::codec::Decoder;

const BEGIN: [u8; 8] = [0, 1, KEEP_CONN, 0, 0, 0, 0, 0];

fn params(fields: &[(&str, &str)]) -> BytesMut {
    let mut out = BytesMut::new();
    fields
        .iter()
        .for_each(|(n, v)| pair(&mut out, n.as_bytes(), v.as_bytes()));
    out
}

fn begun(id: u16, fields: &[(&str, &str)], body: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    record(&mut out, BEGIN_REQUEST, id, &BEGIN);
    if !fields.is_empty() {
        record(&mut out, PARAMS, id, &params(fields));
    }
    record(&mut out, PARAMS, id, &[]);
    if !body.is_empty() {
        record(&mut out, STDIN, id, body);
    }
    out
}

fn whole(id: u16, fields: &[(&str, &str)], body: &[u8]) -> BytesMut {
    let mut out = begun(id, fields, body);
    record(&mut out, STDIN, id, &[]);
    out
}

/// What becomes of bytes that arrive in these pieces; nothings are left out.
fn feed<'a>(
    requests: &mut Requests,
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Vec<Told>, String> {
    let (mut codec, mut buffer, mut all) = (RecordCodec, BytesMut::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(record) = codec.decode(&mut buffer).map_err(|e| e.to_string())? {
            all.push(requests.take(record).map_err(|e| e.to_string())?);
        }
    }
    all.retain(|t| *t != Told::Nothing);
    Ok(all)
}

#[test]
fn requests_are_the_same_however_their_records_are_cut() {
    // A long value has a length of four bytes.
    let long = "x".repeat(300);
    let mut bytes = begun(1, &[("A", "1"), ("LONG", &long)], b"");
    // Interleaved with another one, which is whole first.
    bytes.extend(whole(2, &[("B", "2")], b"body of two"));
    record(&mut bytes, STDIN, 1, b"in ");
    record(&mut bytes, STDIN, 1, b"parts");
    record(&mut bytes, STDIN, 1, &[]);
    let at_once = feed(&mut Requests::default(), [&bytes[..]]).unwrap();
    let said = |t: &Told| match t {
        Told::Whole {
            id,
            params,
            body,
            keep: true,
        } => (*id, pairs(params).unwrap().len(), body.clone()),
        other => panic!("{other:?}"),
    };
    let said: Vec<_> = at_once.iter().map(said).collect();
    assert_eq!(
        said,
        [
            (2, 1, Bytes::from("body of two")),
            (1, 2, Bytes::from("in parts"))
        ]
    );
    for cut in 1..bytes.len() {
        let (a, b) = bytes.split_at(cut);
        assert_eq!(
            feed(&mut Requests::default(), [a, b]).unwrap(),
            at_once,
            "cut at {cut}"
        );
    }
    assert_eq!(
        feed(&mut Requests::default(), bytes.chunks(1)).unwrap(),
        at_once
    );
}

#[test]
fn a_connection_that_makes_no_sense_is_at_its_end() {
    let ended = |bytes: &[u8]| feed(&mut Requests::default(), [bytes]).unwrap_err();
    assert!(ended(b"GET / HTTP/1.1\r\n\r\n").contains("version 71"));
    let mut two = begun(7, &[], b"");
    record(&mut two, BEGIN_REQUEST, 7, &BEGIN);
    assert_eq!(ended(&two), Broken::TwoUnderOne.to_string());
    let mut zero = BytesMut::new();
    record(&mut zero, BEGIN_REQUEST, 0, &BEGIN);
    assert_eq!(ended(&zero), Broken::BadBegin.to_string());
    // Bytes without end for a request that is over.
    let mut more = whole(1, &[], b"");
    (0..20).for_each(|_| record(&mut more, STDIN, 1, &[0; 60_000]));
    assert_eq!(ended(&more), Broken::Skipped.to_string());
}

#[test]
fn what_is_too_long_is_refused_once_and_holds_nothing() {
    let mut requests = Requests::default();
    let mut bytes = begun(1, &[], &[0; BODY_MOST]);
    record(&mut bytes, STDIN, 1, &[0]);
    record(&mut bytes, STDIN, 1, &[0; 1000]);
    record(&mut bytes, BEGIN_REQUEST, 2, &BEGIN);
    record(&mut bytes, PARAMS, 2, &[0; 60_000]);
    let told = feed(&mut requests, [&bytes[..]]).unwrap();
    assert!(
        matches!(
            told[..],
            [Told::Unusable { id: 1, .. }, Told::Unusable { id: 2, .. }]
        ),
        "{told:?}"
    );
    assert_eq!(requests.open(), 0);
}

#[test]
fn more_requests_than_may_be_open_are_turned_away_until_one_is_over() {
    let mut requests = Requests::default();
    for id in 1..=OPEN_MOST as u16 {
        feed(&mut requests, [&whole(id, &[], b"")[..]]).unwrap();
    }
    let one_more =
        |requests: &mut Requests, id| feed(requests, [&whole(id, &[], b"")[..]]).unwrap();
    assert_eq!(one_more(&mut requests, 99), [Told::TooMany { id: 99 }]);
    requests.over(5);
    assert!(matches!(
        one_more(&mut requests, 99)[..],
        [Told::Whole { id: 99, .. }]
    ));
}

#[test]
fn an_abort_ends_what_it_names_and_nothing_else() {
    let mut requests = Requests::default();
    let mut bytes = whole(1, &[], b"");
    bytes.extend(begun(2, &[], b""));
    for id in [1, 2, 3] {
        record(&mut bytes, ABORT_REQUEST, id, &[]);
    }
    let told = feed(&mut requests, [&bytes[..]]).unwrap();
    let aborted = [
        Told::Abort { id: 1, whole: true },
        Told::Abort {
            id: 2,
            whole: false,
        },
    ];
    assert_eq!(told[1..], aborted);
    assert_eq!(
        requests.open(),
        1,
        "the first one is open until its end is written"
    );
}

/// However many come, nothing of those that are over stays.
#[test]
fn a_connection_without_end_holds_what_is_open() {
    let mut requests = Requests::default();
    for n in 0..100_000_u32 {
        let id = (n % 60_000) as u16 + 1;
        let told = feed(&mut requests, [&whole(id, &[("A", "1")], b"x")[..]]).unwrap();
        assert!(matches!(told[..], [Told::Whole { .. }]));
        requests.over(id);
        assert_eq!(requests.open(), 0);
    }
}

fn classes() -> Vec<ClassForm> {
    let form = |name: &str, write| ClassForm {
        name: name.into(),
        keyed: write,
        write,
        deadline_ms: 3_000,
    };
    vec![form("page", false), form("submit", true)]
}

const TXN: &str = "9b1f03aa5c7e2d41";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// A good request with some of its fields replaced or added; an empty value takes one away.
fn with(changes: &[(&'static str, &'static str)], body: &[u8]) -> Result<Question, &'static str> {
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
    read(&params(&fields).freeze(), body, &classes())
}

#[test]
fn a_request_says_what_its_fields_say() {
    let asked = |question: Result<Question, &str>| match question {
        Ok(Question::Asked(asked)) => asked,
        other => panic!("{other:?}"),
    };
    let plain = asked(with(&[], b""));
    let expected = Asked {
        txn: TXN.into(),
        class: 0,
        ttl_ms: 1500,
        key: String::new(),
        row: "7f3a9c21e0b4d655".into(),
        part: 3,
        group: 17,
        got: String::new(),
    };
    assert_eq!(plain, expected);
    let write = [
        ("SCRIPT_NAME", "/ops/submit"),
        ("HTTP_X_TXN_KEY", KEY),
        ("CONTENT_LENGTH", "4"),
    ];
    let write = asked(with(&write, b"body"));
    assert_eq!((write.class, &write.key[..]), (1, KEY));
    assert_eq!(
        asked(with(&[("HTTP_X_GOT", "4be0c1927d55a6f3")], b"")).got,
        "4be0c1927d55a6f3"
    );
    assert_eq!(with(&[("SCRIPT_NAME", "/alive")], b""), Ok(Question::Alive));
}

#[test]
fn what_cannot_be_used_goes_no_further() {
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
        assert!(with(changes, b"").is_err(), "{changes:?}");
    }
    assert!(with(&[], b"a body").is_err());
    assert!(
        read(&Bytes::from_static(&[200, 0, 0]), b"", &classes()).is_err(),
        "lengths that do not fit"
    );
    let twice = params(&[("SCRIPT_NAME", "/ops/page"), ("SCRIPT_NAME", "/ops/page")]).freeze();
    assert!(read(&twice, b"", &classes()).is_err());
}
