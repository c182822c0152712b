//! The words of the wire, as they stand there. Absent and null values are both `None`.
use pointspindle_platform_protocol::settings::SettingsDocument;
use serde::{Deserialize, Serialize};

/// A message from the bench.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Inbound {
    Round(Round),
    OverToYou(Nothing),
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

/// Fields of inbound messages: those after `need` must be there, those after `may` may be absent or null.
macro_rules! inbound {
    ($($name:ident { need { $($n:ident: $nt:ty),* } may { $($m:ident: $mt:ty),* } })*) => {
        $(#[derive(Debug, Deserialize)]
        #[serde(rename_all = "PascalCase")]
        pub struct $name { $(pub $n: $nt,)* $(#[serde(default)] pub $m: Option<$mt>,)* })*
    };
}

/// The beginning of a round, and its time.
#[derive(Debug, Deserialize)]
pub struct Round {
    #[serde(rename = "TMs")]
    pub t_ms: f64,
    pub round: u64,
}

inbound! {
    Nothing { need {} may {} }
    Instance { need { dispatcher: u64 } may {} }
    Provision { need { dispatcher: u64, config: SettingsDocument } may { nonce64: u64 } }
    Sync { need { dispatcher: u64, form: String } may { members: Vec<Entry> } }
    Entry {
        need { host: String }
        may { pod: u64, availability: String, scale: f64, hall: usize, sku: usize, came_up_ms: f64 }
    }
    Incoming {
        need { dispatcher: u64, req: u64 }
        may { cls: usize, content_id: String, expires_in_ms: f64, kbytes: f64, set_no: f64, slice: f64 }
    }
    Reminder { need { dispatcher: u64, cookie: u64 } may {} }
    Voided { need { dispatcher: u64 } may { group: u64, how_old_ms: f64, content_id: String } }
    Begun { need { dispatcher: u64, host: String } may {} }
    Hangup { need { dispatcher: u64, req: u64 } may {} }
    Ended {
        need { dispatcher: u64, req: u64, state_code: String, host: String }
        may { round_no: u32, elapsed_ms: f64, remark: u8, over: bool }
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

/// Fields of outbound messages: `None` is left out.
macro_rules! outbound {
    ($($name:ident $(<$life:lifetime>)? { has { $($h:ident: $ht:ty),* } may { $($m:ident: $mt:ty),* } })*) => {
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
        has { dispatcher: u64, req: u64, host: &'a str }
        may { timeout_ms: f64, fill_from: &'a str, store_as: u8, switches: u8, how_old_ms: f64 }
    }
    Final { has { dispatcher: u64, req: u64 } may { come_back_ms: f64 } }
    DropAttempt { has { dispatcher: u64, req: u64, round_no: u32 } may {} }
    Schedule { has { dispatcher: u64, after_ms: f64, cookie: u64 } may {} }
}

/// The end of a round.
#[derive(Debug, Serialize)]
pub struct Eor {
    pub round: u64,
}
