//! Encoding of responses at a listener.
use bytes::BytesMut;
use std::fmt::Write;

/// Initial capacity of the buffer for a response head, in bytes.
const TYPICAL_HEAD_BYTES: usize = 256;

/// The head of a response to be written.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Length of the body in bytes; `None`: the length is not known and the body is sent in chunks.
    pub length: Option<u64>,
    /// Whether the connection is closed after the response.
    pub close: bool,
    /// Further header fields, with names in lower case.
    pub fields: Vec<(&'static str, String)>,
}

impl HttpResponse {
    /// Writes the head. Control characters are removed from field values, because a line break would start another field.
    pub fn write(&self, dst: &mut BytesMut) {
        let mut text = String::with_capacity(TYPICAL_HEAD_BYTES);
        let reason = reason_phrase(self.status);
        let date = httpdate::fmt_http_date(std::time::SystemTime::now());
        // Writing to a string cannot fail.
        let _ = write!(text, "HTTP/1.1 {} {reason}\r\n", self.status);
        let _ = write!(text, "date: {date}\r\n");
        for (name, value) in &self.fields {
            let printable: String = value.chars().filter(|c| !c.is_control()).collect();
            let _ = write!(text, "{name}: {printable}\r\n");
        }
        match self.length {
            Some(_) if self.status == 304 => {}
            Some(length) => {
                let _ = write!(text, "content-length: {length}\r\n");
            }
            None => text.push_str("transfer-encoding: chunked\r\n"),
        }
        if self.close {
            text.push_str("connection: close\r\n");
        }
        text.push_str("\r\n");
        dst.extend_from_slice(text.as_bytes());
    }
}

/// Writes one chunk of a body; an empty chunk ends the body.
pub fn write_chunk(data: &[u8], dst: &mut BytesMut) {
    dst.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    dst.extend_from_slice(data);
    dst.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        416 => "Range Not Satisfiable",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Answer",
    }
}
