//! Connections of dispatchers to members that say who they are: hello, leases, and what breaks with a process.
use super::links::Owner;
use super::sim::{Ending, Event, Sim, EPOCH};
use pointspindle_audit::trace::AttemptOutcome;
use pointspindle_cache_model::{HostId, JobId, ModelInput, ModelRequest};
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::Input;
use pointspindle_fleet_model::leases::lease_head;
use pointspindle_protocol::{HelloHead, LeaseHead};
use pointspindle_scenario::fault_injection::InjectedFault;

/// Dispatchers that lost a process's connection meet the next one within so long of its start, each in its own time.
const MEETING: u64 = 200_000;

impl Sim<'_> {
    /// What waited for a connection goes out on it, or ends: `met` is the process that it was decided for.
    pub(super) fn connected(&mut self, job: JobId, wanted: ModelRequest, met: Option<u64>) {
        let Some(found) = self.links.get(job).copied() else {
            return;
        };
        let host = found.host;
        let Owner::Attempt {
            dispatcher,
            life,
            request,
            attempt,
            ..
        } = found.owner
        else {
            return;
        };
        if self.dispatchers[dispatcher].life != life {
            return;
        }
        if !self.world.is_up(host) || self.cut_off.contains(&host) {
            return self.over(job, Ending::Refused);
        }
        let start = self.meet(dispatcher, host);
        let replaced = met.is_some_and(|met| met != start);
        // Decided for the process before this one, or not to begin any more.
        let Some(begin) = (!replaced)
            .then(|| self.begin(dispatcher, request, attempt))
            .flatten()
        else {
            self.links.close(job);
            self.tell_core(
                dispatcher,
                Input::AttemptEnded {
                    request,
                    attempt,
                    end: AttemptEnd::NotSent,
                },
            );
            return;
        };
        let planted = self.plant == Some(InjectedFault::IgnorePurge);
        let age = if planted {
            wanted.max_age
        } else {
            wanted.max_age.min(begin.max_copy_age)
        };
        let wanted = ModelRequest {
            max_age: age,
            coalesce: begin.may_coalesce,
            ..wanted
        };
        let way = self.way_of(&found.owner, host);
        self.queue.plan(self.now + way, Event::Arrive(job, wanted));
    }

    /// A connection is there; to which start of the process.
    fn meet(&mut self, dispatcher: usize, host: HostId) -> u64 {
        let (start, started) = self.world.incarnation(host);
        if self.dispatchers[dispatcher].connected.insert(host, start) != Some(start) {
            self.dispatchers[dispatcher].met.insert(host, start);
            let ago = started.map(|at| (EPOCH + self.now).saturating_sub(at));
            let hello = HelloHead {
                incarnation: start,
                started_ago_us: ago,
                ..Default::default()
            };
            let member = self.address(host);
            self.tell_core(
                dispatcher,
                Input::Hello {
                    endpoint: member.clone(),
                    hello,
                },
            );
            if let Some(grant) = self
                .ledgers
                .get_mut(&host)
                .map(|l| l.join(dispatcher as u64, true))
            {
                self.tell_core(
                    dispatcher,
                    Input::Lease {
                        endpoint: member,
                        lease: lease_head(&grant),
                    },
                );
            }
        }
        start
    }

    /// A dispatcher wants a member's word though it has no request for it.
    pub(super) fn plan_meeting(&mut self, dispatcher: usize, host: HostId, after: u64) {
        if self.s.dispatchers.uses_hello
            && !self.dispatchers[dispatcher].connected.contains_key(&host)
        {
            let way = self.s.latency_between(
                self.s.branch_of_dispatcher(dispatcher),
                self.zone_of_host(host),
            );
            let life = self.dispatchers[dispatcher].life;
            self.queue.plan(
                self.now + after + 2 * way,
                Event::Meet {
                    dispatcher,
                    life,
                    host,
                },
            );
        }
    }

    pub(super) fn met(&mut self, dispatcher: usize, life: u32, host: HostId) {
        let there = self.dispatchers[dispatcher].life == life && self.world.is_up(host);
        if there && !self.cut_off.contains(&host) {
            self.meet(dispatcher, host);
        }
    }

    /// A dispatcher's question for work reaches its member; the answer goes back.
    pub(super) fn wanted(&mut self, dispatcher: usize, life: u32, host: HostId, work_us: u64) {
        let start = self.world.incarnation(host).0;
        if self.dispatchers[dispatcher].connected.get(&host) != Some(&start) {
            return;
        }
        let given = match self.ledgers.get_mut(&host) {
            Some(ledger) => {
                lease_head(&ledger.request_work(self.now, dispatcher as u64, work_us as f64 / 1e6))
            }
            None => LeaseHead {
                work_us,
                duration_us: 1_000_000,
                ..Default::default()
            },
        };
        let lease = LeaseHead {
            in_reply: true,
            ..given
        };
        let way = self.s.latency_between(
            self.s.branch_of_dispatcher(dispatcher),
            self.zone_of_host(host),
        );
        self.queue.plan(
            self.now + way,
            Event::Lease {
                dispatcher,
                life,
                host,
                lease,
            },
        );
    }

    /// A process has started: it leases out what it bears, and who lost the one before it comes back.
    pub(super) fn warms_up(&mut self, host: HostId) {
        let spec = self.world.host_spec(host);
        if let Some(ledger) = self.s.work_ledger(spec.role, spec.weight, self.now) {
            self.queue.plan(
                ledger.next_slot(),
                Event::Slot(host, self.world.incarnation(host).0),
            );
            self.ledgers.insert(host, ledger);
        }
        for dispatcher in 0..self.dispatchers.len() {
            if self.dispatchers[dispatcher].met.contains_key(&host) {
                let words = format!(
                    "meet {dispatcher} {host} {}",
                    self.world.incarnation(host).0
                );
                let after = pointspindle_scenario::derive_seed(self.s.seed, &words) % MEETING;
                self.plan_meeting(dispatcher, host, after);
            }
        }
    }

    pub(super) fn slot(&mut self, host: HostId, start: u64) {
        if self.world.incarnation(host).0 != start {
            return;
        }
        let Some(ledger) = self.ledgers.get_mut(&host) else {
            return;
        };
        let grants = ledger.start_slot(self.now);
        if ledger.is_over(self.now) {
            self.ledgers.remove(&host);
            return;
        }
        let next = ledger.next_slot();
        for grant in grants {
            let dispatcher = grant.user as usize;
            let life = self.dispatchers[dispatcher].life;
            let way = self.s.latency_between(
                self.s.branch_of_dispatcher(dispatcher),
                self.zone_of_host(host),
            );
            let lease = lease_head(&grant);
            self.queue.plan(
                self.now + way,
                Event::Lease {
                    dispatcher,
                    life,
                    host,
                    lease,
                },
            );
        }
        self.queue.plan(next, Event::Slot(host, start));
    }

    /// A process is gone, or the way to it: no connection outlives that.
    pub(super) fn unreachable(&mut self, host: HostId) {
        for d in &mut self.dispatchers {
            d.connected.remove(&host);
        }
        if !self.world.is_up(host) {
            self.ledgers.remove(&host);
        } else if let Some(ledger) = self.ledgers.get_mut(&host) {
            (0..self.dispatchers.len()).for_each(|d| ledger.leave(d as u64));
        }
    }

    /// A dispatcher is gone.
    pub(super) fn disconnect(&mut self, dispatcher: usize) {
        let d = &mut self.dispatchers[dispatcher];
        d.connected.clear();
        d.met.clear();
        for ledger in self.ledgers.values_mut() {
            ledger.leave(dispatcher as u64);
        }
    }

    /// Connections break though the process lives: what it had of them is cancelled there.
    pub(super) fn cut(&mut self, host: HostId) {
        self.cut_off.insert(host);
        self.unreachable(host);
        for job in self.links.all(|j| j.host == host && j.reached) {
            self.tell_world(ModelInput::Cancel { host, job });
            self.ending(job, Ending::Broken, AttemptOutcome::ConnectionLost);
        }
    }
}
