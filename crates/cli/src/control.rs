//! `pointspindle members` and `pointspindle purge`: words to running dispatchers.
use crate::etcd::{changed, EtcdArguments};
use crate::Failure;
use pointspindle::ObjectId;
use pointspindle_etcd::layout::{MemberRecord, State};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time for a dispatcher to answer.
const PATIENCE: Duration = Duration::from_secs(3);

#[derive(clap::Args)]
pub struct MembersArguments {
    /// Control addresses of the dispatchers.
    #[arg(long, required_unless_present = "etcd", conflicts_with = "etcd")]
    at: Vec<SocketAddr>,
    #[command(flatten)]
    through: EtcdArguments,
    /// Go on showing the view as dispatchers see it; through etcd only.
    #[arg(long, requires = "etcd", conflicts_with = "set")]
    watch: bool,
    /// A change: ADDRESS=ready, ADDRESS=draining or ADDRESS=gone. Without any, the list is shown.
    #[arg(long)]
    set: Vec<String>,
    /// For a new member: cache, parent or origin; its zone; its weight.
    #[arg(long)]
    kind: Option<String>,
    #[arg(long)]
    zone: Option<String>,
    #[arg(long)]
    weight: Option<f64>,
    /// The member has started just now: it is cold.
    #[arg(long)]
    cold: bool,
}

#[derive(clap::Args)]
pub struct PurgeArguments {
    /// Control addresses of the dispatchers.
    #[arg(long, required_unless_present = "etcd", conflicts_with = "etcd")]
    at: Vec<SocketAddr>,
    #[command(flatten)]
    through: EtcdArguments,
    /// The object, as its path.
    #[arg(long, required_unless_present_any = ["group", "group_of"])]
    object: Option<String>,
    /// A group by its number.
    #[arg(long, conflicts_with = "object")]
    group: Option<u64>,
    /// The group of all paths that begin so, such as /video/12.
    #[arg(long, conflicts_with_all = ["object", "group"])]
    group_of: Option<String>,
    /// How long ago it was purged, milliseconds.
    #[arg(long, default_value_t = 0, conflicts_with = "etcd")]
    age_ms: u64,
    /// Return once it is in force everywhere, by all dispatchers' promise. Exit status 1: one of them promises nothing.
    #[arg(long, requires = "etcd", conflicts_with = "at")]
    wait: bool,
}

/// Sends one control frame and waits for the answer to it.
async fn ask(at: SocketAddr, frame: Frame) -> Result<Frame, String> {
    let talk = async {
        let socket = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
        let (link, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        link.control(frame).await.map_err(|e| e.to_string())?;
        let answer = incoming.next().await;
        link.close("asked");
        match answer {
            Some(Inbound::Control(frame)) => Ok(frame),
            _ => Err("the dispatcher closed the connection".to_owned()),
        }
    };
    let answer = tokio::time::timeout(PATIENCE, talk).await;
    answer
        .unwrap_or_else(|_| Err(format!("no answer in {} s", PATIENCE.as_secs())))
        .map_err(|e| format!("{at}: {e}"))
}

async fn list(at: SocketAddr) -> Result<EndpointListHead, String> {
    match ask(at, Frame::EndpointList(EndpointListHead::default())).await? {
        Frame::EndpointList(list) => Ok(list),
        other => Err(format!("{at}: not a list: {other:?}")),
    }
}

fn acknowledged(at: SocketAddr, answer: Frame) -> Result<(), String> {
    match answer {
        Frame::Ack(AckHead {
            rejection: trouble, ..
        }) if trouble.is_empty() => Ok(()),
        Frame::Ack(AckHead {
            rejection: trouble, ..
        }) => Err(format!("{at}: {trouble}")),
        other => Err(format!("{at}: not an acknowledgement: {other:?}")),
    }
}

pub async fn members(arguments: MembersArguments) -> Result<(), Failure> {
    if !arguments.through.etcd.is_empty() {
        return members_through_etcd(&arguments).await;
    }
    for at in &arguments.at {
        let mut now = list(*at).await?;
        if !arguments.set.is_empty() {
            let changes = arguments
                .set
                .iter()
                .map(|set| change(set, &arguments, &now));
            let members = changes.collect::<Result<Vec<_>, _>>()?;
            let head = EndpointListHead {
                form: EndpointListForm::Delta as i32,
                seq: now.seq + 1,
                endpoints: members,
            };
            acknowledged(*at, ask(*at, Frame::EndpointList(head)).await?)?;
            now = list(*at).await?;
        }
        println!("{at}: list {}, {} members", now.seq, now.endpoints.len());
        for m in &now.endpoints {
            let state = format!("{:?}", m.state()).to_lowercase();
            let started = m.started_ago_us.map_or("long ago".to_owned(), |us| {
                format!("{:.1} s ago", us as f64 / 1e6)
            });
            println!(
                "  {:<22} {state:<9} {:<7} {:<12} weight {} started {started}",
                m.address, m.kind, m.zone, m.weight
            );
        }
    }
    Ok(())
}

async fn members_through_etcd(a: &MembersArguments) -> Result<(), Failure> {
    if a.set.is_empty() {
        return a.through.show(a.watch).await;
    }
    for set in &a.set {
        let (address, state) = wanted(set)?;
        let new = || {
            Ok(MemberRecord {
                state: State::Ready,
                weight: 1.0,
                zone: a
                    .zone
                    .clone()
                    .ok_or(format!("{address} is new: say its --zone"))?,
                kind: a
                    .kind
                    .clone()
                    .ok_or(format!("{address} is new: say its --kind"))?,
                cell: 0,
                start: 1,
                started_unix_ms: None,
            })
        };
        a.through
            .member(address, |known| {
                changed(known, state, new, a.weight, a.cold)
            })
            .await?;
    }
    Ok(())
}

/// ADDRESS=STATE.
fn wanted(set: &str) -> Result<(&str, &str), String> {
    let usage = || format!("--set {set}: not ADDRESS=ready, ADDRESS=draining or ADDRESS=gone");
    let (address, state) = set.split_once('=').ok_or_else(usage)?;
    let address = address.trim();
    address
        .parse::<SocketAddr>()
        .map_err(|_| format!("{address:?} is not an address and port"))?;
    ["ready", "draining", "gone"]
        .contains(&state)
        .then_some((address, state))
        .ok_or_else(usage)
}

fn change(
    set: &str,
    arguments: &MembersArguments,
    now: &EndpointListHead,
) -> Result<EndpointRecord, String> {
    let (address, state) = wanted(set)?;
    let state = match state {
        "ready" => WireEndpointState::Ready,
        "draining" => WireEndpointState::Draining,
        _ => WireEndpointState::Gone,
    };
    let known = now.endpoints.iter().find(|m| m.address == address).cloned();
    let mut line = match known {
        Some(line) => line,
        None => EndpointRecord {
            address: address.to_owned(),
            kind: arguments
                .kind
                .clone()
                .ok_or(format!("{address} is new: say its --kind"))?,
            zone: arguments
                .zone
                .clone()
                .ok_or(format!("{address} is new: say its --zone"))?,
            weight: 1.0,
            ..Default::default()
        },
    };
    line.state = state as i32;
    line.weight = arguments.weight.unwrap_or(line.weight);
    if arguments.cold {
        line.incarnation += 1;
        line.started_ago_us = Some(0);
    }
    Ok(line)
}

pub async fn purge(arguments: PurgeArguments) -> Result<(), Failure> {
    let named = arguments
        .group_of
        .as_deref()
        .map(|g| ObjectId::named(g.trim_end_matches('/')).0);
    let group = named.or(arguments.group).unwrap_or(0);
    if !arguments.through.etcd.is_empty() {
        return arguments
            .through
            .purge(arguments.object, group, arguments.wait)
            .await;
    }
    let head = PurgeHead {
        object: arguments.object,
        group,
        age_us: arguments.age_ms * 1_000,
        seq: 1,
    };
    let mut failed = Vec::new();
    for at in &arguments.at {
        // A purge that reached some is told to all the same: each keeps it alone.
        match ask(*at, Frame::Purge(head.clone()))
            .await
            .and_then(|answer| acknowledged(*at, answer))
        {
            Ok(()) => println!("{at}: purged"),
            Err(e) => failed.push(e),
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(Failure::CannotRun(failed.join("\n")))
}
