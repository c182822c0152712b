//! The member list in force: numbers, addresses, and when each process started by this dispatcher's clock.
use pointspindle::*;
use pointspindle_config::Role;
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, HelloHead, WireEndpointState,
};
use std::collections::{BTreeMap, BTreeSet};

/// Lines of gone members are dropped after this: a member back sooner in the same start must keep the same
/// starting time, or the router would take it for another process.
const KEEP_GONE: Micros = 60_000_000;

/// What became of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListChange {
    /// Number of the list in force.
    pub seq: u64,
    /// Why the whole list is needed; none: nothing is missing.
    pub resync_reason: Option<String>,
    /// Lines that could not be read, with the reason.
    pub rejected_records: Vec<String>,
}

/// What became of a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// By this dispatcher's clock; 0: long ago.
    pub started: Micros,
    /// Another process was there before.
    pub replaced: bool,
}

#[derive(Debug)]
struct Line {
    line: EndpointRecord,
    /// By this dispatcher's clock; 0: long ago.
    started: Micros,
    gone: Option<Micros>,
    /// Its process by its own word, when that started, and when it was last heard.
    process: Option<Process>,
}

#[derive(Clone, Copy, Debug)]
struct Process {
    identity: u64,
    /// 0: long ago.
    started: Micros,
    heard: Micros,
}

#[derive(Debug)]
pub struct EndpointList {
    zones: Vec<String>,
    /// Names are ids, not addresses.
    by_id: bool,
    lines: BTreeMap<EndpointId, Line>,
    /// The last number up to which nothing is missing, and the newest seen.
    seq: u64,
    newest: u64,
}

impl EndpointList {
    pub fn new(zones: &[String], by_id: bool) -> Self {
        Self {
            by_id,
            zones: zones.to_vec(),
            lines: BTreeMap::new(),
            seq: 0,
            newest: 0,
        }
    }

    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Where to send to; none for a member that is gone or was never listed.
    pub fn address(&self, id: EndpointId) -> Option<String> {
        self.lines
            .get(&id)
            .filter(|l| l.gone.is_none())
            .map(|l| l.line.address.clone())
    }

    /// Whether anything may be sent there, or filled from there.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.lines
            .get(&id)
            .is_some_and(|l| l.gone.is_none() && l.line.state() == WireEndpointState::Ready)
    }

    /// Judges an update. One of the past is left out; of one after a gap every line is newer than what is
    /// known, so all are taken (a drain must not wait for the list), but the whole list stays wanted.
    pub fn take(
        &mut self,
        now: Micros,
        head: EndpointListHead,
    ) -> (Option<Event>, EndpointListChange) {
        let update = match head.form() {
            EndpointListForm::Full => ListUpdate::Full,
            EndpointListForm::Cached => ListUpdate::Cached,
            EndpointListForm::Failed => ListUpdate::Failed,
            EndpointListForm::Delta | EndpointListForm::Unspecified => ListUpdate::Delta,
        };
        let mut bad = Vec::new();
        let mut wanted = None;
        match update {
            ListUpdate::Full | ListUpdate::Cached => (self.seq, self.newest) = (head.seq, head.seq),
            ListUpdate::Failed => {
                let event = Event::EndpointList {
                    update,
                    entries: Vec::new(),
                };
                return (
                    Some(event),
                    EndpointListChange {
                        seq: self.seq,
                        resync_reason: wanted,
                        rejected_records: bad,
                    },
                );
            }
            ListUpdate::Delta if head.seq <= self.newest => {
                return (
                    None,
                    EndpointListChange {
                        seq: self.seq,
                        resync_reason: wanted,
                        rejected_records: bad,
                    },
                );
            }
            ListUpdate::Delta => {
                self.newest = head.seq;
                if head.seq == self.seq + 1 {
                    self.seq = head.seq;
                } else {
                    wanted = Some(format!("delta {} came after list {}", head.seq, self.seq));
                }
            }
        }
        let mut entries = Vec::new();
        for line in head.endpoints {
            match self.entry(now, &line) {
                Ok(entry) => {
                    let (started, gone) = (
                        entry.started_at,
                        (entry.state == EndpointState::Gone).then_some(now),
                    );
                    let process = self.lines.get(&entry.id).and_then(|l| l.process);
                    self.lines.insert(
                        entry.id,
                        Line {
                            line,
                            started,
                            gone,
                            process,
                        },
                    );
                    entries.push(entry);
                }
                Err(reason) => bad.push(format!("{}: {reason}", line.address)),
            }
        }
        if update != ListUpdate::Delta {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (id, line) in &mut self.lines {
                if !listed.contains(id) {
                    line.gone.get_or_insert(now);
                }
            }
        }
        self.lines
            .retain(|_, l| l.gone.is_none_or(|at| now < at + KEEP_GONE));
        (
            Some(Event::EndpointList { update, entries }),
            EndpointListChange {
                seq: self.seq,
                resync_reason: wanted,
                rejected_records: bad,
            },
        )
    }

    /// A member's word of its process; when that started by this clock, or none for who is not listed.
    ///
    /// The same process keeps the moment that it was first given: told ages jitter. Another one in its place cannot
    /// have begun before the old one was last heard, whatever its clock says.
    pub fn hello(&mut self, now: Micros, id: EndpointId, hello: &HelloHead) -> Option<Hello> {
        let line = self.lines.get_mut(&id).filter(|l| l.gone.is_none())?;
        let before = line.process;
        let told = hello
            .started_ago_us
            .map_or(0, |ago| now.saturating_sub(ago).max(1));
        let started = match before {
            Some(p) if p.identity == hello.incarnation => p.started,
            Some(p) => told.max(p.heard),
            None => told,
        };
        line.process = Some(Process {
            identity: hello.incarnation,
            started,
            heard: now,
        });
        Some(Hello {
            started,
            replaced: before.is_some_and(|p| p.identity != hello.incarnation),
        })
    }

    /// Word from a member: its process still runs.
    pub fn heard(&mut self, now: Micros, id: EndpointId) {
        if let Some(process) = self.lines.get_mut(&id).and_then(|l| l.process.as_mut()) {
            process.heard = now;
        }
    }

    fn entry(&self, now: Micros, line: &EndpointRecord) -> Result<EndpointEntry, String> {
        let id = EndpointId::named(&line.address);
        if !self.by_id && line.address.parse::<std::net::SocketAddr>().is_err() {
            return Err("not an address and port".into());
        }
        let zone = self.zones.iter().position(|z| *z == line.zone);
        let role =
            Role::from_name(&line.kind).ok_or_else(|| format!("unknown kind {:?}", line.kind))?;
        let state = match line.state() {
            WireEndpointState::Ready => EndpointState::Ready,
            WireEndpointState::Draining => EndpointState::Draining,
            WireEndpointState::Gone => EndpointState::Gone,
            WireEndpointState::Unspecified => return Err("no state".into()),
        };
        // The same start keeps the moment that it was first given: told ages jitter.
        let known = self
            .lines
            .get(&id)
            .filter(|l| l.line.incarnation == line.incarnation);
        let started = match (known, line.started_ago_us) {
            (Some(known), _) => known.started,
            (None, Some(ago)) => now.saturating_sub(ago).max(1),
            (None, None) => 0,
        };
        Ok(EndpointEntry {
            id,
            state,
            weight: line.weight,
            // A zone that is not in the settings is nobody's here: its caches are not used, parents are.
            zone: zone.unwrap_or(self.zones.len()),
            kind: role.kind(),
            cell: line.cell,
            started_at: started,
        })
    }

    /// The whole list in force, as it would be told now.
    pub fn whole(&self, now: Micros) -> EndpointListHead {
        let listed = self.lines.values().filter(|l| l.gone.is_none());
        let line = |l: &Line| EndpointRecord {
            started_ago_us: (l.started > 0).then(|| now.saturating_sub(l.started)),
            ..l.line.clone()
        };
        EndpointListHead {
            form: EndpointListForm::Full as i32,
            seq: self.seq,
            endpoints: listed.map(line).collect(),
        }
    }
}
