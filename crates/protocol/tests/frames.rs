//! Encoding and decoding of frames, and the checks of streams against faulty or hostile peers.
use bytes::{BufMut, Bytes, BytesMut};
use pointspindle_protocol::streams::*;
use pointspindle_protocol::*;
use tokio_util::codec::{Decoder, Encoder};

fn encode_all(frames: &[Frame]) -> BytesMut {
    let mut codec = FrameCodec::default();
    let mut out = BytesMut::new();
    for frame in frames {
        codec.encode(frame.clone(), &mut out).unwrap();
    }
    out
}

fn request(object: &str) -> RequestHead {
    let fetch = FetchHead {
        source: "10.0.0.1:80".into(),
        retention_rank: 2,
        max_age_us: 7,
        revalidate: true,
        ..Default::default()
    };
    RequestHead {
        object: object.into(),
        part: 3,
        time_left_us: 900_000,
        fetch: Some(fetch),
        ..Default::default()
    }
}

fn sample_frames() -> Vec<Frame> {
    vec![
        Frame::Request(1, request("a")),
        Frame::Head(
            1,
            ResponseHead {
                size: Some(3),
                validator: "v1".into(),
                ..Default::default()
            },
        ),
        Frame::Data(1, Bytes::from_static(b"abc")),
        Frame::End(
            1,
            EndHead {
                bytes: 3,
                load: Some(LoadReport {
                    utilization: 0.5,
                    hit_ratio: 0.25,
                    link_utilization: 1.0,
                }),
            },
        ),
        Frame::Error(
            2,
            ErrorHead {
                may_have_run: true,
                detail: "x".into(),
                ..Default::default()
            },
        ),
        Frame::Credit(0, 77),
        Frame::EndpointList(EndpointListHead {
            seq: 4,
            endpoints: vec![EndpointRecord::default()],
            ..Default::default()
        }),
        Frame::Purge(PurgeHead {
            object: Some("a".into()),
            ..Default::default()
        }),
        Frame::Hello(HelloHead {
            incarnation: 9,
            started_ago_us: Some(1),
            ..Default::default()
        }),
        Frame::WorkRequest(WorkRequestHead { work_us: 7 }),
        Frame::Lease(LeaseHead {
            work_us: 400_000,
            duration_us: 125_000,
            on_request: true,
            in_reply: true,
        }),
    ]
}

#[test]
fn frames_decode_as_encoded_for_any_chunk_size() {
    let sent = sample_frames();
    let encoded = encode_all(&sent);
    for chunk_size in [1, 2, 7, 64, encoded.len()] {
        let mut codec = FrameCodec::default();
        let mut src = BytesMut::new();
        let mut decoded = vec![];
        for chunk in encoded.chunks(chunk_size) {
            src.extend_from_slice(chunk);
            while let Some(frame) = codec.decode(&mut src).unwrap() {
                decoded.push(frame);
            }
        }
        assert_eq!(decoded, sent, "chunks of {chunk_size} bytes");
    }
}

#[test]
fn unknown_fields_and_frame_types_are_skipped() {
    let mut raw = BytesMut::from(&pointspindle_protocol::frame::PREFACE[..]);
    // A frame of an unknown type, then a cancel frame with an unknown field (tag 15).
    raw.put_slice(&[0, 0, 0, 2, 200, 0, 0, 0, 0, 9, 9]);
    raw.put_slice(&[0, 0, 0, 5, 6, 0, 0, 0, 1, 10, 1, b'x', 120, 1]);
    let mut codec = FrameCodec::default();
    assert_eq!(codec.decode(&mut raw).unwrap(), Some(Frame::Unknown(200)));
    let cancel = Frame::Cancel(1, CancelHead { reason: "x".into() });
    assert_eq!(codec.decode(&mut raw).unwrap(), Some(cancel));
}

#[test]
fn invalid_preface_oversized_frame_and_truncated_frame_are_distinct_errors() {
    let mut codec = FrameCodec::default();
    let mut http = BytesMut::from("GE");
    assert!(
        matches!(codec.decode(&mut http), Err(FrameError::Preface(_))),
        "two bytes suffice to reject another protocol"
    );
    let mut later_version = BytesMut::from(&b"PSPN\x02\0\0\0"[..]);
    assert!(matches!(
        FrameCodec::default().decode(&mut later_version),
        Err(FrameError::Version(2))
    ));
    let mut oversized = encode_all(&[]);
    oversized.put_slice(&pointspindle_protocol::frame::PREFACE);
    oversized.put_slice(&[0, 1, 0, 1, 3, 0, 0, 0, 1]);
    let decoded = FrameCodec::default().decode(&mut oversized);
    assert!(
        matches!(
            decoded,
            Err(FrameError::TooLong {
                kind: 3,
                len: 65537,
                ..
            })
        ),
        "{decoded:?}"
    );
    let mut truncated = encode_all(&[Frame::Request(1, request("a"))]);
    truncated.truncate(truncated.len() - 1);
    assert!(matches!(
        FrameCodec::default().decode_eof(&mut truncated),
        Err(FrameError::Truncated(_))
    ));
}

#[test]
fn requests_on_used_stream_or_above_limit_are_errors() {
    let mut responder = Streams::new(Side::Responder, 2);
    assert!(responder.receive(Frame::Request(5, request("a"))).is_ok());
    assert_eq!(
        responder.receive(Frame::Request(5, request("a"))),
        Err(StreamError::Reused(5))
    );
    assert_eq!(
        responder.receive(Frame::Request(4, request("a"))),
        Err(StreamError::Reused(4))
    );
    assert!(responder.receive(Frame::Request(6, request("a"))).is_ok());
    assert_eq!(
        responder.receive(Frame::Request(7, request("a"))),
        Err(StreamError::TooManyStreams(2))
    );
    responder.close(5);
    assert!(
        responder.receive(Frame::Request(8, request("a"))).is_ok(),
        "a closed stream no longer counts towards the limit"
    );
}

#[test]
fn response_frames_out_of_order_are_errors() {
    let mut caller = Streams::new(Side::Caller, 3);
    let id = caller.open_stream().unwrap();
    let data = |n: usize| Frame::Data(id, Bytes::from(vec![0; n]));
    assert_eq!(
        caller.receive(data(1)),
        Err(StreamError::OutOfOrder(id, "data before the head"))
    );
    caller
        .receive(Frame::Head(id, ResponseHead::default()))
        .unwrap();
    caller.receive(data(10)).unwrap();
    let short = Frame::End(
        id,
        EndHead {
            bytes: 11,
            load: None,
        },
    );
    assert!(
        caller.receive(short).is_err(),
        "an end frame that counts more bytes than were received"
    );
}

#[test]
fn response_after_end_is_error_and_after_cancel_is_ignored() {
    let mut caller = Streams::new(Side::Caller, 3);
    let ended = caller.open_stream().unwrap();
    caller
        .receive(Frame::Head(ended, ResponseHead::default()))
        .unwrap();
    caller
        .receive(Frame::End(ended, EndHead::default()))
        .unwrap();
    let second_end = caller.receive(Frame::End(ended, EndHead::default()));
    assert_eq!(
        second_end,
        Err(StreamError::AfterEnd(ended)),
        "a second end frame"
    );
    let cancelled = caller.open_stream().unwrap();
    caller.close(cancelled);
    let late = caller.receive(Frame::Head(cancelled, ResponseHead::default()));
    assert_eq!(
        late,
        Ok(Received::Ignored { body: 0 }),
        "a response that was in flight when the stream was cancelled"
    );
    let unrequested = Frame::Head(99, ResponseHead::default());
    assert!(matches!(
        caller.receive(unrequested),
        Err(StreamError::OutOfOrder(99, _))
    ));
}

#[test]
fn exhausted_stream_credit_stalls_only_that_stream() {
    let mut caller = Streams::new(Side::Caller, 8);
    let slow = caller.open_stream().unwrap();
    let fast = caller.open_stream().unwrap();
    for id in [slow, fast] {
        caller
            .receive(Frame::Head(id, ResponseHead::default()))
            .unwrap();
    }
    let chunk = Bytes::from(vec![0; MAX_DATA_PAYLOAD]);
    for _ in 0..STREAM_WINDOW as usize / MAX_DATA_PAYLOAD {
        caller.receive(Frame::Data(slow, chunk.clone())).unwrap();
        caller.return_connection_credit(MAX_DATA_PAYLOAD as u32);
    }
    for _ in 0..100 {
        caller.receive(Frame::Data(fast, chunk.clone())).unwrap();
        caller.return_connection_credit(MAX_DATA_PAYLOAD as u32);
        assert!(caller.return_credit(fast, MAX_DATA_PAYLOAD as u32));
    }
    let excess = caller.receive(Frame::Data(slow, Bytes::from_static(b"x")));
    assert_eq!(excess, Err(StreamError::OverCredit(slow, 1)));
}
