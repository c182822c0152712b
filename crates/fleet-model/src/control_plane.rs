//! The source of lists and purges: what is true, and what each dispatcher is told of it when.
//!
//! Each dispatcher hears of every change in order, each after a delay of its own.
use pointspindle::Micros;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::{HostId, HostSpec};
use pointspindle_protocol::{
    EndpointListForm, EndpointListHead, EndpointRecord, WireEndpointState,
};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::ListedState;
use pointspindle_scenario::{derive_seed, RuleLimits};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::VecDeque;

/// A member's line at the moment of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    pub host: HostId,
    pub address: String,
    pub state: ListedState,
    pub incarnation: u64,
    /// None: long ago.
    pub started_at: Option<Micros>,
}

/// What a dispatcher is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlUpdate {
    /// Changed lines, and the number of the list.
    Delta(u64, Vec<ListedEndpoint>),
    Full(u64, Vec<ListedEndpoint>),
    /// An object, or a whole group, and when it was purged.
    Purge {
        object: Option<String>,
        group: u64,
        at: Micros,
    },
}

#[derive(Debug, Default)]
struct Ear {
    seq: u64,
    waiting: VecDeque<(Micros, ControlUpdate)>,
    /// Down: nothing can be told.
    deaf: bool,
}

#[derive(Debug)]
pub struct ControlPlane {
    rules: RuleLimits,
    lines: Vec<ListedEndpoint>,
    ears: Vec<Ear>,
    purges: VecDeque<(Micros, Option<String>, u64)>,
    more: (Micros, Micros),
    rng: StdRng,
}

impl ControlPlane {
    pub fn new(rules: RuleLimits, hosts: &[HostSpec], dispatchers: usize, seed: u64) -> Self {
        let line = |(host, spec): (HostId, &HostSpec)| ListedEndpoint {
            host,
            address: spec.address.clone(),
            state: ListedState::Ready,
            incarnation: 1,
            started_at: None,
        };
        Self {
            rules,
            lines: hosts.iter().enumerate().map(line).collect(),
            ears: (0..dispatchers).map(|_| Ear::default()).collect(),
            purges: VecDeque::new(),
            more: (0, 0),
            rng: StdRng::seed_from_u64(derive_seed(seed, "book")),
        }
    }

    /// The line of a member under another address: a relay in front of it.
    pub fn set_address(&mut self, host: HostId, address: String) {
        if let Some(line) = self.lines.iter_mut().find(|l| l.host == host) {
            line.address = address;
        }
    }

    /// List changes are told `more` later until then.
    pub fn delay_updates(&mut self, more: Micros, until: Micros) {
        self.more = (more, until);
    }

    pub fn update_endpoint(&mut self, now: Micros, line: ListedEndpoint) {
        match self.lines.iter_mut().find(|l| l.host == line.host) {
            Some(known) => {
                *known = ListedEndpoint {
                    address: known.address.clone(),
                    ..line.clone()
                }
            }
            None => self.lines.push(line.clone()),
        }
        let line = self
            .lines
            .iter()
            .find(|l| l.host == line.host)
            .cloned()
            .unwrap_or(line);
        let more = if now < self.more.1 { self.more.0 } else { 0 };
        for ear in self.ears.iter_mut().filter(|e| !e.deaf) {
            let due = now + more + self.rules.endpoint_update_delay.sample(&mut self.rng);
            // In order: a change waits for the one before it.
            let last = ear
                .waiting
                .iter()
                .rev()
                .find(|(_, t)| matches!(t, ControlUpdate::Delta(..)));
            let due = due.max(last.map_or(0, |(at, _)| *at));
            ear.seq += 1;
            let told = ControlUpdate::Delta(ear.seq, vec![line.clone()]);
            ear.push(due, told);
        }
    }

    pub fn purge(&mut self, now: Micros, object: Option<String>, group: u64) {
        self.purges.push_back((now, object.clone(), group));
        let keep = self.rules.purge_deadline + 1_000_000;
        self.purges.retain(|(at, ..)| at + keep > now);
        for ear in self.ears.iter_mut().filter(|e| !e.deaf) {
            let due = now + self.rules.purge_delay.sample(&mut self.rng);
            ear.push(
                due,
                ControlUpdate::Purge {
                    object: object.clone(),
                    group,
                    at: now,
                },
            );
        }
    }

    /// A dispatcher is down.
    pub fn disconnect(&mut self, dispatcher: usize) {
        let ear = &mut self.ears[dispatcher];
        ear.deaf = true;
        ear.waiting.clear();
    }

    /// A dispatcher starts: the purges that may still matter at once, and the whole list.
    pub fn connect(&mut self, now: Micros, dispatcher: usize) {
        let lines: Vec<ListedEndpoint> = self
            .lines
            .iter()
            .filter(|l| l.state != ListedState::Removed)
            .cloned()
            .collect();
        let ear = &mut self.ears[dispatcher];
        ear.deaf = false;
        ear.seq += 1;
        for (at, object, group) in &self.purges {
            let told = ControlUpdate::Purge {
                object: object.clone(),
                group: *group,
                at: *at,
            };
            ear.waiting.push_back((now, told));
        }
        let seq = ear.seq;
        ear.waiting
            .push_back((now, ControlUpdate::Full(seq, lines)));
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.ears
            .iter()
            .filter_map(|e| e.waiting.front().map(|(at, _)| *at))
            .min()
    }

    /// What is to be told by now, dispatcher by dispatcher.
    pub fn take_due(&mut self, now: Micros) -> Vec<(usize, ControlUpdate)> {
        let mut out = Vec::new();
        for (dispatcher, ear) in self.ears.iter_mut().enumerate() {
            while ear.waiting.front().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, told)) = ear.waiting.pop_front() {
                    out.push((dispatcher, told));
                }
            }
        }
        out
    }
}

impl Ear {
    /// By time; what is due together stays in the order of its happening.
    fn push(&mut self, due: Micros, told: ControlUpdate) {
        let place = self.waiting.partition_point(|(at, _)| *at <= due);
        self.waiting.insert(place, (due, told));
    }
}

/// A list update as it is sent and as it is seen; `hidden`: only claimed to have been sent.
pub struct ListUpdate {
    pub head: EndpointListHead,
    pub event: TraceEvent,
    pub withheld: bool,
}

/// Words a list update for a dispatcher. `member` tells kind, zone and weight; plants of control act here.
pub fn list_update<'a>(
    dispatcher: usize,
    form: EndpointListForm,
    seq: u64,
    lines: &[ListedEndpoint],
    now: Micros,
    plant: Option<InjectedFault>,
    member: impl Fn(HostId) -> Option<(&'a str, &'a str, f64)>,
) -> ListUpdate {
    let of = |wanted: bool| -> Vec<String> {
        let fits = |l: &&ListedEndpoint| (l.state == ListedState::Ready) == wanted;
        lines
            .iter()
            .filter(fits)
            .map(|l| l.address.clone())
            .collect()
    };
    let whole = form == EndpointListForm::Full;
    let starts = lines
        .iter()
        .filter(|l| l.state == ListedState::Ready)
        .map(|l| l.incarnation)
        .collect();
    let saw = TraceEvent::EndpointListDelivered {
        dispatcher,
        full: whole,
        ready: of(true),
        incarnations: starts,
        not_ready: of(false),
    };
    // Claims to have told of drains and did not.
    let hidden = plant == Some(InjectedFault::WithholdDrain)
        && lines.iter().any(|l| l.state == ListedState::Draining);
    let line = |l: &ListedEndpoint| {
        let (kind, zone, weight) = member(l.host).unwrap_or_default();
        let state = match l.state {
            ListedState::Ready => WireEndpointState::Ready,
            ListedState::Draining => WireEndpointState::Draining,
            ListedState::Removed => WireEndpointState::Gone,
        };
        // Hides a cold start.
        let started = l
            .started_at
            .filter(|_| plant != Some(InjectedFault::HideRestart));
        EndpointRecord {
            address: l.address.clone(),
            state: state as i32,
            weight,
            zone: zone.into(),
            kind: kind.into(),
            cell: 0,
            incarnation: l.incarnation,
            started_ago_us: started.map(|at| now.saturating_sub(at)),
        }
    };
    let members = lines.iter().map(line).collect();
    ListUpdate {
        head: EndpointListHead {
            form: form as i32,
            seq,
            endpoints: members,
        },
        event: saw,
        withheld: hidden,
    }
}
