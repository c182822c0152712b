//! HTTP/1.1 messages: valid ones, ambiguous ones that enable request smuggling, and oversized ones.
use bytes::BytesMut;
use pointspindle_protocol::http::*;
use pointspindle_protocol::range::{Range, ResolvedRange};
use tokio_util::codec::Decoder;

fn decode(text: &str) -> Result<Option<HttpRequest>, HttpError> {
    RequestCodec.decode(&mut BytesMut::from(text))
}

fn status(text: &str) -> u16 {
    decode(text).expect_err(text).status()
}

#[test]
fn pipelined_requests_are_decoded_one_by_one() {
    let mut src = BytesMut::from(
        "GET /a?part=2 HTTP/1.1\r\nHost: x\r\nRange: bytes=0-9\r\n\r\nHEAD http://x/b HTTP/1.1\r\nhost: x\r\nConnection: close\r\n\r\nGET /c",
    );
    let first = RequestCodec.decode(&mut src).unwrap().unwrap();
    assert_eq!(
        (first.path.as_str(), first.query.as_str(), first.keep_alive),
        ("/a", "part=2", true)
    );
    assert_eq!(first.range.as_deref(), Some("bytes=0-9"));
    let second = RequestCodec.decode(&mut src).unwrap().unwrap();
    assert_eq!(
        (second.method, second.path.as_str(), second.keep_alive),
        (Method::Head, "/b", false)
    );
    assert_eq!(RequestCodec.decode(&mut src).unwrap(), None);
    assert!(
        RequestCodec.decode_eof(&mut src).is_err(),
        "the connection ended within a head"
    );
}

#[test]
fn ambiguous_requests_are_rejected_with_their_status() {
    let with = |fields: &str| format!("GET /a HTTP/1.1\r\nHost: x\r\n{fields}\r\n\r\n");
    assert_eq!(
        status(&with("Content-Length: 4\r\nTransfer-Encoding: chunked")),
        400
    );
    assert_eq!(status(&with("Transfer-Encoding : chunked")), 400);
    assert_eq!(status(&with("Transfer-Encoding: xchunked")), 400);
    assert_eq!(status(&with("Content-Length: 0\r\nContent-Length: 4")), 400);
    assert_eq!(status(&with("Content-Length: 4, 4")), 400);
    assert_eq!(status(&with("Content-Length: +0")), 400);
    assert_eq!(status(&with("Content-Length: 4")), 413);
    assert_eq!(status(&with("Host: y")), 400);
    assert_eq!(status(&with(" folded: x")), 400);
    assert_eq!(status("GET /a HTTP/1.1\r\n\r\n"), 400, "missing Host field");
    assert_eq!(status("POST /a HTTP/1.1\r\nHost: x\r\n\r\n"), 501);
    assert_eq!(status("GET /a HTTP/2.0\r\nHost: x\r\n\r\n"), 505);
    assert!(decode(&with("Content-Length: 0")).unwrap().is_some());
}

#[test]
fn oversized_heads_and_targets_are_rejected() {
    let excess_fields = "a: b\r\n".repeat(MAX_FIELDS + 1);
    assert_eq!(
        status(&format!("GET / HTTP/1.1\r\nHost: x\r\n{excess_fields}")),
        431
    );
    let oversized_value = "x".repeat(MAX_HTTP_HEAD);
    assert_eq!(
        status(&format!(
            "GET / HTTP/1.1\r\nHost: x\r\na: {oversized_value}"
        )),
        431
    );
    let oversized_target = "y".repeat(MAX_TARGET);
    assert_eq!(
        status(&format!(
            "GET /{oversized_target} HTTP/1.1\r\nHost: x\r\n\r\n"
        )),
        414
    );
}

fn events(text: &str, head_only: bool) -> Result<Vec<HttpEvent>, HttpError> {
    let mut codec = ResponseCodec::new(head_only);
    let mut src = BytesMut::from(text);
    let mut out = vec![];
    while let Some(event) = codec.decode_eof(&mut src)? {
        out.push(event);
    }
    Ok(out)
}

#[test]
fn response_ends_at_its_length_and_truncated_one_is_error() {
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let body: Vec<u8> = events(chunked, false)
        .unwrap()
        .into_iter()
        .filter_map(|event| {
            if let HttpEvent::Data(data) = event {
                Some(data.to_vec())
            } else {
                None
            }
        })
        .flatten()
        .collect();
    assert_eq!(body, b"abcde");
    assert!(
        events(&chunked[..chunked.len() - 5], false).is_err(),
        "missing last chunk"
    );
    assert!(events(&chunked.replace("3\r\n", "z\r\n"), false).is_err());
    assert!(events(&chunked.replace("3\r\nabc", "2\r\nabc"), false).is_err());
    assert!(events("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false).is_err());
    let head = events("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true).unwrap();
    assert_eq!(head.len(), 2, "a response to HEAD has a length and no body");
    let chunked_with_length =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(events(chunked_with_length, false).is_err());
}

#[test]
fn written_response_head_decodes_without_injected_fields() {
    let fields = vec![("age", "3".to_owned()), ("x", "a\r\nevil: 1".to_owned())];
    let mut dst = BytesMut::new();
    HttpResponse {
        status: 200,
        length: Some(0),
        close: true,
        fields,
    }
    .write(&mut dst);
    let HttpEvent::Head {
        status,
        fields,
        keep_alive,
    } = ResponseCodec::default().decode(&mut dst).unwrap().unwrap()
    else {
        panic!("the first event is not a head")
    };
    assert_eq!((status, keep_alive), (200, false));
    assert!(!fields.iter().any(|(name, _)| name == "evil"));
}

#[test]
fn byte_ranges_follow_rfc_9110() {
    assert_eq!(
        Range::parse("bytes=0-99").unwrap().resolve(50),
        ResolvedRange::Part(0, 49)
    );
    assert_eq!(
        Range::parse("bytes=-10").unwrap().resolve(50),
        ResolvedRange::Part(40, 49)
    );
    assert_eq!(
        Range::parse("bytes=-99").unwrap().resolve(50),
        ResolvedRange::Part(0, 49)
    );
    assert_eq!(
        Range::parse("bytes=49-").unwrap().resolve(50),
        ResolvedRange::Part(49, 49)
    );
    assert_eq!(
        Range::parse("bytes=50-").unwrap().resolve(50),
        ResolvedRange::Unsatisfiable
    );
    assert_eq!(
        Range::parse("bytes=-0").unwrap().resolve(50),
        ResolvedRange::Unsatisfiable
    );
    for ignored in [
        "bytes=5-4",
        "bytes=0-1,3-4",
        "lines=1-2",
        "bytes=",
        "bytes=-",
        "bytes=+1-2",
    ] {
        assert_eq!(Range::parse(ignored), None, "{ignored}");
    }
    assert!(matches_validator("W/\"a\", \"b\"", "\"a\"") && !matches_validator("\"c\"", "\"a\""));
}
