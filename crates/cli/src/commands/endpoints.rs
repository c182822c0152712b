//! `pointspindle members`: shows and changes the endpoint list of running dispatchers, directly or through etcd.
use super::control_client::{apply, endpoint_list};
use super::etcd_access::EtcdArguments;
use crate::output::endpoint_list::print_list;
use pointspindle_cli::exit::CommandResult;
use pointspindle_clock::wall_clock_unix_ms;
use pointspindle_etcd::layout::{EndpointState, MemberRecord};
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
    /// Continue to show the view as dispatchers see it; only through etcd.
    #[arg(long, requires = "etcd", conflicts_with = "set")]
    watch: bool,
    /// Change of an endpoint's state: ADDRESS=ready, ADDRESS=draining or ADDRESS=gone. Without one, the list is shown.
    #[arg(long)]
    set: Vec<StateChange>,
    /// Kind of a new endpoint: cache, parent or origin.
    #[arg(long)]
    kind: Option<String>,
    /// Zone of a new endpoint.
    #[arg(long)]
    zone: Option<String>,
    /// Weight of the endpoint.
    #[arg(long)]
    weight: Option<f64>,
    /// Record that the endpoint has just started and is warming up.
    #[arg(long)]
    cold: bool,
}

/// Reason for which a change of an endpoint's state is malformed or cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum StateChangeError {
    /// The change is not of the form ADDRESS=STATE.
    #[error("--set {0}: expected ADDRESS=ready, ADDRESS=draining or ADDRESS=gone")]
    Malformed(String),
    /// The address is not an address and port.
    #[error("{0:?} is not an address and port")]
    Address(String),
    /// An argument that a new endpoint requires is missing.
    #[error("{address} is a new endpoint: --{argument} is required")]
    MissingArgument {
        /// Address of the endpoint.
        address: String,
        /// Name of the argument.
        argument: &'static str,
    },
}

/// Requested state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestedState {
    Ready,
    Draining,
    Removed,
}

/// Change of an endpoint's state, written ADDRESS=STATE.
#[derive(Clone, Debug)]
pub struct StateChange {
    address: String,
    state: RequestedState,
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
            "ready" => RequestedState::Ready,
            "draining" => RequestedState::Draining,
            "gone" => RequestedState::Removed,
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
            .update_endpoint(&change.address, |existing| {
                arguments
                    .changed_record(existing, change)
                    .map_err(|error| error.to_string())
            })
            .await?;
    }
    Ok(())
}

impl EndpointsArguments {
    /// Returns the changes as an update of a dispatcher's endpoint list.
    fn list_update(&self, list: &EndpointListHead) -> Result<EndpointListHead, StateChangeError> {
        let changed = self
            .set
            .iter()
            .map(|change| self.changed_endpoint(list, change));
        Ok(EndpointListHead {
            form: EndpointListForm::Delta as i32,
            seq: list.seq + 1,
            endpoints: changed.collect::<Result<_, _>>()?,
        })
    }

    fn changed_endpoint(
        &self,
        list: &EndpointListHead,
        change: &StateChange,
    ) -> Result<EndpointRecord, StateChangeError> {
        let existing = list
            .endpoints
            .iter()
            .find(|endpoint| endpoint.address == change.address);
        let mut endpoint = match existing {
            Some(endpoint) => endpoint.clone(),
            None => EndpointRecord {
                address: change.address.clone(),
                kind: self.new_endpoint_kind(&change.address)?,
                zone: self.new_endpoint_zone(&change.address)?,
                weight: 1.0,
                ..Default::default()
            },
        };
        let state = match change.state {
            RequestedState::Ready => WireEndpointState::Ready,
            RequestedState::Draining => WireEndpointState::Draining,
            RequestedState::Removed => WireEndpointState::Gone,
        };
        endpoint.state = state as i32;
        endpoint.weight = self.weight.unwrap_or(endpoint.weight);
        if self.cold {
            endpoint.incarnation += 1;
            endpoint.started_ago_us = Some(0);
        }
        Ok(endpoint)
    }

    /// Returns the changed record of an endpoint in etcd, or `None` if the endpoint is removed.
    fn changed_record(
        &self,
        existing: Option<MemberRecord>,
        change: &StateChange,
    ) -> Result<Option<MemberRecord>, StateChangeError> {
        let state = match change.state {
            RequestedState::Ready => EndpointState::Ready,
            RequestedState::Draining => EndpointState::Draining,
            RequestedState::Removed => return Ok(None),
        };
        let mut record = match existing {
            Some(record) => record,
            None => MemberRecord {
                state,
                weight: 1.0,
                zone: self.new_endpoint_zone(&change.address)?,
                kind: self.new_endpoint_kind(&change.address)?,
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

    fn new_endpoint_kind(&self, address: &str) -> Result<String, StateChangeError> {
        require_argument(self.kind.as_ref(), address, "kind")
    }

    fn new_endpoint_zone(&self, address: &str) -> Result<String, StateChangeError> {
        require_argument(self.zone.as_ref(), address, "zone")
    }
}

fn require_argument(
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
