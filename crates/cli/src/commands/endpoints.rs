//! `pointspindle members`: the endpoint list of running dispatchers, directly or through etcd.
use super::control_client::{apply, endpoint_list};
use super::etcd_access::EtcdArguments;
use crate::exit::CommandResult;
use crate::output::endpoint_list::print_list;
use pointspindle_clock::wall_clock_unix_ms;
use pointspindle_etcd::layout::{MemberRecord, State};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, Frame, WireEndpointState,
};
use std::net::SocketAddr;

/// Arguments of `members`.
#[derive(clap::Args)]
pub struct EndpointsArguments {
    /// Control addresses of the dispatchers.
    #[arg(long, required_unless_present = "etcd", conflicts_with = "etcd")]
    at: Vec<SocketAddr>,
    #[command(flatten)]
    etcd: EtcdArguments,
    /// Go on showing the view as dispatchers see it; through etcd only.
    #[arg(long, requires = "etcd", conflicts_with = "set")]
    watch: bool,
    /// A change: ADDRESS=ready, ADDRESS=draining or ADDRESS=gone. Without any, the list is shown.
    #[arg(long)]
    set: Vec<StateChange>,
    /// For a new endpoint: cache, parent or origin.
    #[arg(long)]
    kind: Option<String>,
    /// For a new endpoint: its zone.
    #[arg(long)]
    zone: Option<String>,
    /// Its weight.
    #[arg(long)]
    weight: Option<f64>,
    /// The endpoint has started just now: it is warming up.
    #[arg(long)]
    cold: bool,
}

/// Why something is not a change of an endpoint's state, or cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum StateChangeError {
    /// Not of the form ADDRESS=STATE.
    #[error("--set {0}: not ADDRESS=ready, ADDRESS=draining or ADDRESS=gone")]
    Malformed(String),
    /// The address is none.
    #[error("{0:?} is not an address and port")]
    Address(String),
    /// A new endpoint needs more than an address.
    #[error("{address} is new: say its --{argument}")]
    MissingArgument {
        /// Address of the endpoint.
        address: String,
        /// Name of the argument.
        argument: &'static str,
    },
}

/// State that an endpoint is to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WantedState {
    Ready,
    Draining,
    Removed,
}

/// ADDRESS=STATE.
#[derive(Clone, Debug)]
pub struct StateChange {
    address: String,
    state: WantedState,
}

impl std::str::FromStr for StateChange {
    type Err = StateChangeError;

    fn from_str(text: &str) -> Result<Self, StateChangeError> {
        let malformed = || StateChangeError::Malformed(text.to_owned());
        let (address, state) = text.split_once('=').ok_or_else(malformed)?;
        let address = address.trim().to_owned();
        if address.parse::<SocketAddr>().is_err() {
            return Err(StateChangeError::Address(address));
        }
        let state = match state {
            "ready" => WantedState::Ready,
            "draining" => WantedState::Draining,
            "gone" => WantedState::Removed,
            _ => return Err(malformed()),
        };
        Ok(Self { address, state })
    }
}

/// Shows the endpoint list, or changes it.
pub async fn endpoints(arguments: EndpointsArguments) -> CommandResult {
    if arguments.etcd.is_used() {
        return change_through_etcd(&arguments).await;
    }
    for address in &arguments.at {
        let mut list = endpoint_list(*address).await?;
        if !arguments.set.is_empty() {
            let update = arguments.list_update(&list)?;
            apply(*address, Frame::EndpointList(update)).await?;
            list = endpoint_list(*address).await?;
        }
        print_list(*address, &list);
    }
    Ok(())
}

async fn change_through_etcd(arguments: &EndpointsArguments) -> CommandResult {
    if arguments.set.is_empty() {
        return arguments.etcd.show(arguments.watch).await;
    }
    for change in &arguments.set {
        arguments
            .etcd
            .update_endpoint(&change.address, |known| {
                arguments
                    .changed_record(known, change)
                    .map_err(|error| error.to_string())
            })
            .await?;
    }
    Ok(())
}

impl EndpointsArguments {
    /// The changes as an update of a dispatcher's list.
    fn list_update(&self, list: &EndpointListHead) -> Result<EndpointListHead, StateChangeError> {
        let changed = self
            .set
            .iter()
            .map(|change| self.changed_line(list, change));
        Ok(EndpointListHead {
            form: EndpointListForm::Delta as i32,
            seq: list.seq + 1,
            endpoints: changed.collect::<Result<_, _>>()?,
        })
    }

    fn changed_line(
        &self,
        list: &EndpointListHead,
        change: &StateChange,
    ) -> Result<EndpointRecord, StateChangeError> {
        let known = list
            .endpoints
            .iter()
            .find(|endpoint| endpoint.address == change.address);
        let mut endpoint = match known {
            Some(endpoint) => endpoint.clone(),
            None => EndpointRecord {
                address: change.address.clone(),
                kind: self.kind_of_new(&change.address)?,
                zone: self.zone_of_new(&change.address)?,
                weight: 1.0,
                ..Default::default()
            },
        };
        let state = match change.state {
            WantedState::Ready => WireEndpointState::Ready,
            WantedState::Draining => WireEndpointState::Draining,
            WantedState::Removed => WireEndpointState::Gone,
        };
        endpoint.state = state as i32;
        endpoint.weight = self.weight.unwrap_or(endpoint.weight);
        if self.cold {
            endpoint.incarnation += 1;
            endpoint.started_ago_us = Some(0);
        }
        Ok(endpoint)
    }

    /// What an endpoint's record in etcd becomes; none: it is removed.
    fn changed_record(
        &self,
        known: Option<MemberRecord>,
        change: &StateChange,
    ) -> Result<Option<MemberRecord>, StateChangeError> {
        let state = match change.state {
            WantedState::Ready => State::Ready,
            WantedState::Draining => State::Draining,
            WantedState::Removed => return Ok(None),
        };
        let mut record = match known {
            Some(record) => record,
            None => MemberRecord {
                state,
                weight: 1.0,
                zone: self.zone_of_new(&change.address)?,
                kind: self.kind_of_new(&change.address)?,
                cell: 0,
                start: 1,
                started_unix_ms: None,
            },
        };
        record.state = state;
        record.weight = self.weight.unwrap_or(record.weight);
        if self.cold {
            record.start += 1;
            record.started_unix_ms = Some(wall_clock_unix_ms());
        }
        Ok(Some(record))
    }

    fn kind_of_new(&self, address: &str) -> Result<String, StateChangeError> {
        required(self.kind.as_ref(), address, "kind")
    }

    fn zone_of_new(&self, address: &str) -> Result<String, StateChangeError> {
        required(self.zone.as_ref(), address, "zone")
    }
}

fn required(
    value: Option<&String>,
    address: &str,
    argument: &'static str,
) -> Result<String, StateChangeError> {
    value
        .cloned()
        .ok_or_else(|| StateChangeError::MissingArgument {
            address: address.to_owned(),
            argument,
        })
}
