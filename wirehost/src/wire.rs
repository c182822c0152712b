//! Messages of the wire, with the names of its messages and fields. Absent and null values are both `None`.
use pointspindle_platform_protocol::settings::SettingsDocument;
use serde::{Deserialize, Serialize};

/// A message from the bench.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Inbound {
    Round(Round),
    OverToYou(Empty),
    Provision(Box<Provision>),
    Sync(Sync),
    Incoming(Incoming),
    Reminder(Reminder),
    Kill(Instance),
    NeighbourSays(Instance),
    Voided(Voided),
    Echo(Instance),
    Hangup(Hangup),
    Begun(Begun),
    Ended(Ended),
}

/// Defines inbound messages. Fields under `required` must be present; fields under `optional` may be absent or null.
macro_rules! inbound {
    ($($name:ident { required { $($n:ident: $nt:ty),* } optional { $($m:ident: $mt:ty),* } })*) => {
        $(#[derive(Debug, Deserialize)]
        #[serde(rename_all = "PascalCase")]
        pub struct $name { $(pub $n: $nt,)* $(#[serde(default)] pub $m: Option<$mt>,)* })*
    };
}

/// Start of a round, with its time in milliseconds.
#[derive(Debug, Deserialize)]
pub struct Round {
    #[serde(rename = "TMs")]
    pub t_ms: f64,
    pub round: u64,
}

inbound! {
    Empty { required {} optional {} }
    Instance { required { dispatcher: u64 } optional {} }
    Provision { required { dispatcher: u64, config: SettingsDocument } optional { nonce64: u64 } }
    Sync { required { dispatcher: u64, form: String } optional { members: Vec<Entry> } }
    Entry {
        required { host: String }
        optional { pod: u64, availability: String, scale: f64, hall: usize, sku: usize, came_up_ms: f64 }
    }
    Incoming {
        required { dispatcher: u64, req: u64 }
        optional { cls: usize, content_id: String, expires_in_ms: f64, kbytes: f64, set_no: f64, slice: f64 }
    }
    Reminder { required { dispatcher: u64, cookie: u64 } optional {} }
    Voided { required { dispatcher: u64 } optional { group: u64, how_old_ms: f64, content_id: String } }
    Begun { required { dispatcher: u64, host: String } optional {} }
    Hangup { required { dispatcher: u64, req: u64 } optional {} }
    Ended {
        required { dispatcher: u64, req: u64, state_code: String, host: String }
        optional { round_no: u32, elapsed_ms: f64, remark: u8, over: bool }
    }
}

/// A message to the bench.
#[derive(Debug, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Outbound<'a> {
    Dispatch(Send<'a>),
    AnswerFrom(Send<'a>),
    Bounce(Final),
    DropRequest(Final),
    DropAttempt(DropAttempt),
    Schedule(Schedule),
    Eor(Eor),
}

/// Defines outbound messages. Fields under `optional` are omitted if they are `None`.
macro_rules! outbound {
    ($($name:ident $(<$life:lifetime>)? {
        required { $($h:ident: $ht:ty),* } optional { $($m:ident: $mt:ty),* }
    })*) => {
        $(#[derive(Debug, Serialize)]
        #[serde(rename_all = "PascalCase")]
        pub struct $name $(<$life>)? {
            $(pub $h: $ht,)*
            $(#[serde(skip_serializing_if = "Option::is_none")] pub $m: Option<$mt>,)*
        })*
    };
}

outbound! {
    Send<'a> {
        required { dispatcher: u64, req: u64, host: &'a str }
        optional { timeout_ms: f64, fill_from: &'a str, store_as: u8, switches: u8, how_old_ms: f64 }
    }
    Final { required { dispatcher: u64, req: u64 } optional { come_back_ms: f64 } }
    DropAttempt { required { dispatcher: u64, req: u64, round_no: u32 } optional {} }
    Schedule { required { dispatcher: u64, after_ms: f64, cookie: u64 } optional {} }
}

/// End of a round.
#[derive(Debug, Serialize)]
pub struct Eor {
    pub round: u64,
}
