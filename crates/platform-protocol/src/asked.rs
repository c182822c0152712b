//! What a request says, from its params. Whoever says something that cannot be used is told so and goes no further: a
//! cache host closes a connection on what it cannot read, whatever else is open on it.
use crate::fastcgi::pairs;
use bytes::Bytes;

/// What a class of the settings lets a request say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassForm {
    pub name: String,
    pub keyed: bool,
    pub write: bool,
    /// The most that a client waits.
    pub deadline_ms: u64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub txn: String,
    pub class: usize,
    pub ttl_ms: u64,
    /// Passed on in keyed classes.
    pub key: String,
    pub row: String,
    pub part: u64,
    pub group: u64,
    /// Tag of a copy that the client holds; empty: none.
    pub got: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Whether requests can be served.
    Alive,
    Asked(Asked),
}

/// Parts are counted by the platform, but their number is not told: more than this is no part of anything.
const PART_MOST: u64 = 1_000_000;
const GROUP_MOST: u64 = 255;

/// Digits of numbers that are written in hex.
const HEX: usize = 16;
const KEY_HEX: usize = 32;

fn hex(value: &str, digits: usize) -> bool {
    value.len() == digits && value.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Digits only: signs, spaces and fractions are not ours.
fn number(value: &str, most: u64) -> Option<u64> {
    let plain = !value.is_empty() && value.len() <= 12 && value.bytes().all(|b| b.is_ascii_digit());
    value.parse().ok().filter(|n| plain && *n <= most)
}

/// An error: why it cannot be used.
pub fn read(params: &Bytes, body: &[u8], classes: &[ClassForm]) -> Result<Question, &'static str> {
    let pairs = pairs(params).ok_or("params whose lengths do not fit")?;
    let field = |name: &str| -> Result<Option<&str>, &'static str> {
        let mut found = pairs.iter().filter(|(n, _)| *n == name.as_bytes());
        let Some((_, value)) = found.next() else {
            return Ok(None);
        };
        if found.next().is_some() {
            return Err("a param that is said twice");
        }
        std::str::from_utf8(value)
            .map(Some)
            .map_err(|_| "a param that is no text")
    };
    let script = field("SCRIPT_NAME")?.ok_or("no SCRIPT_NAME")?;
    if script == "/alive" {
        return Ok(Question::Alive);
    }
    let name = script
        .strip_prefix("/ops/")
        .ok_or("nothing is served under this SCRIPT_NAME")?;
    let class = classes
        .iter()
        .position(|c| c.name == name)
        .ok_or("no such class")?;
    let form = &classes[class];
    let must = |name| field(name)?.ok_or("a field is missing");
    let txn = must("HTTP_X_TXN")?;
    let row = must("HTTP_X_ROW")?;
    if !hex(txn, HEX) || !hex(row, HEX) {
        return Err("an X-Txn or X-Row that is not 16 hex digits");
    }
    let ttl = must("HTTP_X_TTL_MS")?;
    // A client's own rounding may go one over.
    let ttl_ms = number(ttl, form.deadline_ms + 1)
        .filter(|ms| *ms > 0)
        .ok_or("X-Ttl-Ms out of range")?;
    let part = field("HTTP_X_NTH")?.map_or(Some(0), |n| number(n, PART_MOST));
    let group = field("HTTP_X_BATCH")?.map_or(Some(0), |n| number(n, GROUP_MOST));
    if !matches!(field("HTTP_X_SECOND_TRY")?, None | Some("1")) {
        return Err("X-Second-Try is 1 or absent");
    }
    let key = field("HTTP_X_TXN_KEY")?.unwrap_or_default();
    if form.keyed && !hex(key, KEY_HEX) {
        return Err("an X-Txn-Key that is not 32 hex digits");
    }
    let got = field("HTTP_X_GOT")?.unwrap_or_default();
    if !got.is_empty() && !hex(got, HEX) {
        return Err("an X-Got that is not 16 hex digits");
    }
    let length = field("CONTENT_LENGTH")?.filter(|l| !l.is_empty());
    if length.is_some_and(|l| number(l, u64::MAX) != Some(body.len() as u64)) {
        return Err("CONTENT_LENGTH is not what came");
    }
    if !form.write && !body.is_empty() {
        return Err("a body where nothing is written");
    }
    Ok(Question::Asked(Asked {
        txn: txn.to_owned(),
        class,
        ttl_ms,
        key: if form.keyed {
            key.to_owned()
        } else {
            String::new()
        },
        row: row.to_owned(),
        part: part.ok_or("X-Nth out of range")?,
        group: group.ok_or("X-Batch out of range")?,
        got: got.to_owned(),
    }))
}
