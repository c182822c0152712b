//! A web server's connection to the dispatcher: FastCGI requests, their responses and their aborts.
use super::TEST_TIMEOUT;
use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use pointspindle_platform_protocol::fastcgi::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Content of a begin record: the responder role, with the flag that keeps the connection open.
const BEGIN_CONTENT: [u8; 8] = [0, 1, KEEP_CONN, 0, 0, 0, 0, 0];
const FIRST_TRANSACTION_ID: u64 = 0x9b1f_03aa_0000_0001;

/// A response; status 0 if the request ended without one.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// A web server's connection.
pub struct FastCgiClient {
    pub writer: OwnedWriteHalf,
    records: FramedRead<OwnedReadHalf, RecordCodec>,
    /// Received parts of the responses that are not complete yet.
    partial: BTreeMap<u16, BytesMut>,
    /// Complete responses that the test has not read yet.
    completed: BTreeMap<u16, Response>,
}

impl FastCgiClient {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.unwrap())
    }

    pub fn new(socket: TcpStream) -> Self {
        let (reader, writer) = socket.into_split();
        let records = FramedRead::new(reader, RecordCodec::default());
        Self {
            writer,
            records,
            partial: BTreeMap::new(),
            completed: BTreeMap::new(),
        }
    }

    /// Sends a complete request; see [`fastcgi_request`].
    pub async fn send_request(
        &mut self,
        id: u16,
        script: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) {
        let bytes = fastcgi_request(id, script, fields, body);
        self.writer.write_all(&bytes).await.unwrap();
    }

    /// Sends a request for a page.
    pub async fn request_page(&mut self, id: u16, fields: &[(&str, &str)]) {
        self.send_request(id, "/ops/page", fields, b"").await;
    }

    /// Returns the response to a request, or `None` if the connection was closed first.
    pub async fn response_or_close(&mut self, id: u16) -> Option<Response> {
        let read = async {
            while !self.completed.contains_key(&id) {
                let (completed_id, response) = self.next_response().await?;
                let earlier = self.completed.insert(completed_id, response);
                assert!(earlier.is_none(), "a request ended twice");
            }
            self.completed.remove(&id)
        };
        timeout(TEST_TIMEOUT, read)
            .await
            .expect("no response or close in time")
    }

    /// Returns the response to a request.
    pub async fn response(&mut self, id: u16) -> Response {
        self.response_or_close(id)
            .await
            .expect("the connection was closed without a response")
    }

    /// Returns the id and the response of the next request that ends, or `None` if the connection is closed.
    /// Cancel-safe.
    pub async fn next_response(&mut self) -> Option<(u16, Response)> {
        loop {
            let record = self.records.next().await?.ok()?;
            match record.record_type {
                STDOUT => self
                    .partial
                    .entry(record.id)
                    .or_default()
                    .extend_from_slice(&record.content),
                END_REQUEST => {
                    let bytes = self.partial.remove(&record.id).unwrap_or_default();
                    return Some((record.id, parse_response(bytes)));
                }
                _ => {}
            }
        }
    }

    /// Aborts a request and waits for its end.
    pub async fn abort(&mut self, id: u16) {
        self.writer.write_all(&abort_record(id)).await.unwrap();
        assert_eq!(
            self.response(id).await.status,
            0,
            "an end without a response"
        );
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.writer.as_ref())
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

fn parse_response(mut bytes: BytesMut) -> Response {
    let head_length = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(head_length) = head_length else {
        return Response::default();
    };
    let head = String::from_utf8(bytes.split_to(head_length).to_vec()).unwrap();
    bytes.advance(HEAD_END.len());
    let status = head.strip_prefix("Status: ").unwrap()[..3].parse().unwrap();
    Response {
        status,
        head,
        body: bytes.to_vec(),
    }
}

/// Returns the record that begins a request.
pub fn begin_request_record(id: u16) -> BytesMut {
    let mut out = BytesMut::new();
    write_record(&mut out, BEGIN_REQUEST, id, &BEGIN_CONTENT);
    out
}

/// Returns the record that aborts a request.
pub fn abort_record(id: u16) -> BytesMut {
    let mut out = BytesMut::new();
    write_record(&mut out, ABORT_REQUEST, id, &[]);
    out
}

/// Returns the bytes of a complete request with a unique transaction id; `fields` replace or extend the fields of
/// a valid request for a page.
pub fn fastcgi_request(id: u16, script: &str, fields: &[(&str, &str)], body: &[u8]) -> BytesMut {
    static NEXT_TRANSACTION_ID: AtomicU64 = AtomicU64::new(FIRST_TRANSACTION_ID);
    let transaction_id = NEXT_TRANSACTION_ID.fetch_add(1, Ordering::SeqCst);
    let transaction_id = format!("{transaction_id:016x}");
    let mut all_fields = vec![
        ("SCRIPT_NAME", script),
        ("HTTP_X_TXN", &transaction_id),
        ("HTTP_X_ROW", "7f3a9c21e0b4d655"),
        ("HTTP_X_TTL_MS", "4000"),
        ("HTTP_X_NTH", "3"),
        ("HTTP_X_BATCH", "17"),
    ];
    all_fields.retain(|(name, _)| !fields.iter().any(|(replaced, _)| replaced == name));
    all_fields.extend(fields);
    let mut params = BytesMut::new();
    for (name, value) in all_fields {
        write_pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    let mut out = begin_request_record(id);
    write_record(&mut out, PARAMS, id, &params);
    write_record(&mut out, PARAMS, id, &[]);
    if !body.is_empty() {
        write_record(&mut out, STDIN, id, body);
    }
    write_record(&mut out, STDIN, id, &[]);
    out
}
