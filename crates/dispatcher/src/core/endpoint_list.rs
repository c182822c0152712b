//! The endpoint list in force: ids, addresses, and the starting time of each endpoint's process by this dispatcher's clock.
use pointspindle::*;
use pointspindle_config::Role;
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, HelloHead, WireEndpointState,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long the slots of removed endpoints are retained. An endpoint that returns in the same incarnation must have the same
/// starting time as before, or the router would treat it as a restarted process.
const REMOVED_ENDPOINT_RETENTION_US: Micros = 60_000_000;

/// The effect of a list update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListChange {
    /// Sequence number of the list in force.
    pub seq: u64,
    /// Reason why the full list must be requested; `None` if no update is missing.
    pub resync_reason: Option<String>,
    /// Addresses of the records that could not be used, each with the reason.
    pub rejected_records: Vec<String>,
}

/// The effect of a list update, with the event to be passed to the router.
pub(super) struct AppliedUpdate {
    /// Event for the router; `None` if the update was outdated.
    pub event: Option<Event>,
    pub change: EndpointListChange,
}

/// The effect of an endpoint's hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IncarnationChange {
    /// When the process started, by this dispatcher's clock; 0 stands for long ago.
    pub started_at: Micros,
    /// Whether the process has replaced another one at the same address.
    pub is_replacement: bool,
}

#[derive(Debug)]
struct EndpointSlot {
    record: EndpointRecord,
    /// When the listed process started, by this dispatcher's clock; 0 stands for long ago.
    started_at: Micros,
    /// When the endpoint was removed from the list; `None` while it is listed.
    removed_at: Option<Micros>,
    /// The process according to its own hello, if it has sent one.
    incarnation: Option<Incarnation>,
}

impl EndpointSlot {
    fn is_listed(&self) -> bool {
        self.removed_at.is_none()
    }
}

/// An endpoint's process, according to its hello.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    id: u64,
    /// When the process started, by this dispatcher's clock; 0 stands for long ago.
    started_at: Micros,
    last_seen: Micros,
}

/// Endpoints by id.
///
/// Invariant: `seq <= newest_seq`, and they differ only while an update is missing. Bound: one slot for each listed
/// endpoint, and one for each endpoint removed within [`REMOVED_ENDPOINT_RETENTION_US`] before the latest update.
#[derive(Debug)]
pub(super) struct EndpointList {
    zones: Vec<String>,
    /// Whether endpoints are named by ids, which need not be socket addresses.
    names_are_ids: bool,
    slots: BTreeMap<EndpointId, EndpointSlot>,
    /// The latest sequence number up to which no update is missing.
    seq: u64,
    newest_seq: u64,
}

impl EndpointList {
    /// Creates an empty list. `zones` are the zones of the settings in their order.
    pub fn new(zones: &[String], names_are_ids: bool) -> Self {
        Self {
            names_are_ids,
            zones: zones.to_vec(),
            slots: BTreeMap::new(),
            seq: 0,
            newest_seq: 0,
        }
    }

    /// Sequence number of the list in force; 0 if there is none yet.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the address of a listed endpoint.
    pub fn address(&self, id: EndpointId) -> Option<String> {
        self.slots
            .get(&id)
            .filter(|slot| slot.is_listed())
            .map(|slot| slot.record.address.clone())
    }

    /// Whether requests may be sent to the endpoint, and fills may use it as their source.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.slots
            .get(&id)
            .is_some_and(|slot| slot.is_listed() && slot.record.state() == WireEndpointState::Ready)
    }

    /// Applies an update. An outdated delta is ignored. The records of a delta that follows a gap are newer than the stored
    /// ones, so they are applied at once (a drain must not wait for the full list), and the full list is requested.
    pub fn apply(&mut self, now: Micros, head: EndpointListHead) -> AppliedUpdate {
        let update = list_update(head.form());
        if update == ListUpdate::Delta && head.seq <= self.newest_seq {
            return AppliedUpdate {
                event: None,
                change: self.change(None, Vec::new()),
            };
        }
        if update == ListUpdate::Failed {
            let entries = Vec::new();
            return AppliedUpdate {
                event: Some(Event::EndpointList { update, entries }),
                change: self.change(None, Vec::new()),
            };
        }
        let resync_reason = self.advance_sequence(update == ListUpdate::Delta, head.seq);
        let mut entries = Vec::new();
        let mut rejected_records = Vec::new();
        for record in head.endpoints {
            match self.entry(now, &record) {
                Ok(entry) => {
                    self.store(now, &entry, record);
                    entries.push(entry);
                }
                Err(reason) => rejected_records.push(format!("{}: {reason}", record.address)),
            }
        }
        if update != ListUpdate::Delta {
            self.remove_unlisted(now, &entries);
        }
        self.remove_expired_slots(now);
        AppliedUpdate {
            event: Some(Event::EndpointList { update, entries }),
            change: self.change(resync_reason, rejected_records),
        }
    }

    fn change(
        &self,
        resync_reason: Option<String>,
        rejected_records: Vec<String>,
    ) -> EndpointListChange {
        EndpointListChange {
            seq: self.seq,
            resync_reason,
            rejected_records,
        }
    }

    /// Advances to the sequence number of an update. Returns the reason for requesting the full list if a preceding update is
    /// missing.
    fn advance_sequence(&mut self, is_delta: bool, seq: u64) -> Option<String> {
        self.newest_seq = seq;
        if is_delta && seq != self.seq + 1 {
            return Some(format!("delta {seq} does not follow list {}", self.seq));
        }
        self.seq = seq;
        None
    }

    fn store(&mut self, now: Micros, entry: &EndpointEntry, record: EndpointRecord) {
        let incarnation = self.slots.get(&entry.id).and_then(|slot| slot.incarnation);
        let slot = EndpointSlot {
            record,
            started_at: entry.started_at,
            removed_at: (entry.state == EndpointState::Removed).then_some(now),
            incarnation,
        };
        self.slots.insert(entry.id, slot);
    }

    /// Marks all endpoints that are not among the entries of a full list as removed.
    fn remove_unlisted(&mut self, now: Micros, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for (id, slot) in &mut self.slots {
            if !listed.contains(id) {
                slot.removed_at.get_or_insert(now);
            }
        }
    }

    fn remove_expired_slots(&mut self, now: Micros) {
        self.slots.retain(|_, slot| {
            slot.removed_at
                .is_none_or(|at| now < at + REMOVED_ENDPOINT_RETENTION_US)
        });
    }

    /// Applies an endpoint's hello. Returns `None` for an endpoint that is not listed.
    ///
    /// For the same process the starting time that was computed first stays valid, since reported ages jitter. A new process
    /// cannot have started before the previous one was last seen, whatever its clock says.
    pub fn apply_hello(
        &mut self,
        now: Micros,
        id: EndpointId,
        hello: &HelloHead,
    ) -> Option<IncarnationChange> {
        let slot = self.slots.get_mut(&id).filter(|slot| slot.is_listed())?;
        let previous = slot.incarnation;
        let reported = time_from_age(now, hello.started_ago_us);
        let started_at = match previous {
            Some(process) if process.id == hello.incarnation => process.started_at,
            Some(process) => reported.max(process.last_seen),
            None => reported,
        };
        slot.incarnation = Some(Incarnation {
            id: hello.incarnation,
            started_at,
            last_seen: now,
        });
        Some(IncarnationChange {
            started_at,
            is_replacement: previous.is_some_and(|process| process.id != hello.incarnation),
        })
    }

    /// Records that a response of the endpoint has arrived, which shows that its process is running.
    pub fn mark_seen(&mut self, now: Micros, id: EndpointId) {
        let slot = self.slots.get_mut(&id);
        if let Some(process) = slot.and_then(|slot| slot.incarnation.as_mut()) {
            process.last_seen = now;
        }
    }

    /// Translates a record for the router. Returns the reason if the record is unusable.
    fn entry(&self, now: Micros, record: &EndpointRecord) -> Result<EndpointEntry, String> {
        let id = EndpointId::named(&record.address);
        if !self.names_are_ids && record.address.parse::<std::net::SocketAddr>().is_err() {
            return Err("the address is not of the form IP:PORT".into());
        }
        let zone = self.zones.iter().position(|zone| *zone == record.zone);
        let role = Role::from_name(&record.kind)
            .ok_or_else(|| format!("unknown endpoint kind {:?}", record.kind))?;
        let state = match record.state() {
            WireEndpointState::Ready => EndpointState::Ready,
            WireEndpointState::Draining => EndpointState::Draining,
            WireEndpointState::Gone => EndpointState::Removed,
            WireEndpointState::Unspecified => return Err("the record has no valid state".into()),
        };
        Ok(EndpointEntry {
            id,
            state,
            weight: record.weight,
            // A zone that is not in the settings gets an index that matches no configured zone: its caches are not used,
            // its parents are.
            zone: zone.unwrap_or(self.zones.len()),
            kind: role.kind(),
            cell: record.cell,
            started_at: self.started_at(now, id, record),
        })
    }

    /// Returns the starting time of a listed process. For the same incarnation the time that was computed first stays valid,
    /// since reported ages jitter.
    fn started_at(&self, now: Micros, id: EndpointId, record: &EndpointRecord) -> Micros {
        self.slots
            .get(&id)
            .filter(|slot| slot.record.incarnation == record.incarnation)
            .map_or_else(
                || time_from_age(now, record.started_ago_us),
                |slot| slot.started_at,
            )
    }

    /// Number of listed endpoints.
    pub fn listed_count(&self) -> usize {
        self.slots.values().filter(|slot| slot.is_listed()).count()
    }

    /// Returns the list in force as a full list, with ages as of `now`.
    pub fn to_full_list(&self, now: Micros) -> EndpointListHead {
        let record = |slot: &EndpointSlot| EndpointRecord {
            started_ago_us: (slot.started_at > 0).then(|| now.saturating_sub(slot.started_at)),
            ..slot.record.clone()
        };
        let listed = self.slots.values().filter(|slot| slot.is_listed());
        EndpointListHead {
            form: EndpointListForm::Full as i32,
            seq: self.seq,
            endpoints: listed.map(record).collect(),
        }
    }
}

/// Converts an age into a time by this dispatcher's clock; 0 stands for long ago.
fn time_from_age(now: Micros, ago: Option<Micros>) -> Micros {
    ago.map_or(0, |ago| now.saturating_sub(ago).max(1))
}

fn list_update(form: EndpointListForm) -> ListUpdate {
    match form {
        EndpointListForm::Full => ListUpdate::Full,
        EndpointListForm::Cached => ListUpdate::Cached,
        EndpointListForm::Failed => ListUpdate::Failed,
        EndpointListForm::Delta | EndpointListForm::Unspecified => ListUpdate::Delta,
    }
}
