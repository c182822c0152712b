//! From "nothing known" through a snapshot and its watch to "current", and back, without I/O.
//!
//! The owner calls [`Watcher::handle`] with what etcd answered and carries the [`Output`]s out in order; between answers it
//! hands in [`Input::Tick`] at [`Watcher::next`] or soon after.
//!
//! **The view is the truth at [`Watcher::revision`]**, always: events are applied in order, each once, whole revisions only. A stream
//! that breaks goes on from the next revision; one that broke between two fragments loses the first of them and asks again. Where
//! history is gone (compaction, a cluster that knows less than was seen, or another one in its place) a new snapshot is compared
//! with the view, and [`Output::Gap`] tells that purges may have been missed since the view was last known to be whole: the safe side
//! is to treat everything as purged then.
//!
//! Where it is to prove that purges are known, the mark that each purge leaves is read every so often: a read that was asked for at
//! some moment tells the revision of the last purge that was acknowledged by then; once the view is at that revision or past it,
//! [`Output::Proven`] says so. A read goes through the cluster's agreement, which no word of a watch does: a member that is cut off from
//! the others goes on telling its watchers that all is well.
//!
//! Kept: a line for each member, the last revision of each purge that is still written there.
use crate::layout::{self, DispatcherRecord, MemberRecord, Name};
use pointspindle_protocol::{EndpointListForm, EndpointListHead, PurgeHead};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

pub type Micros = u64;
pub type Revision = i64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub mod_revision: Revision,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(KeyValue),
    Delete {
        key: Vec<u8>,
        mod_revision: Revision,
    },
}

impl Change {
    fn revision(&self) -> Revision {
        match self {
            Self::Put(kv) => kv.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }
}

/// Of an answer: which cluster it is of, and the store's own revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    pub cluster: u64,
    pub revision: Revision,
}

/// What etcd said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// All keys under the prefix, read at the header's revision.
    Snapshot {
        header: Header,
        keys: Vec<KeyValue>,
    },
    /// The watch stands.
    Created {
        header: Header,
    },
    /// `fragment`: more of the same revisions follows.
    News {
        header: Header,
        changes: Vec<Change>,
        fragment: bool,
    },
    /// Everything up to the header's revision has been sent.
    Progress {
        header: Header,
    },
    /// The watch cannot begin or go on where it was asked to: history is gone.
    Compacted,
    /// The stream, or the asking, failed.
    Broken,
    /// The purges' mark, asked for at that moment: the cluster, and the mark's revision (0: there is none). None: it could not be read.
    Mark {
        asked: Micros,
        read: Option<(u64, Revision)>,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read all keys under the prefix.
    AskSnapshot,
    /// Watch the prefix from this revision on, with fragments and progress notices.
    AskWatch {
        from: Revision,
    },
    AskProgress,
    /// Read the purges' mark; its answer names this moment.
    AskMark {
        asked: Micros,
    },
    /// All purges that were acknowledged up to so long ago are in the view.
    Proven {
        ago: Micros,
    },
    /// Give up what was asked and is not answered.
    Hang,
    Members(EndpointListHead),
    Purge(PurgeHead),
    /// All dispatchers that are registered, by name.
    Dispatchers(BTreeMap<String, DispatcherRecord>),
    /// Purges of the time before now may have been missed, as far back as this. `first`: nothing was known before.
    Gap {
        age_us: Micros,
        first: bool,
    },
    /// A key that cannot be used; all others are.
    Bad(layout::BadKey),
    View(View),
}

/// How far the view is to be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    Unknown,
    Current,
    /// Nothing has been heard for longer than the rule allows.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// A silent watch is asked for progress after this, and given up after so much more.
    pub progress_every: Micros,
    pub silent: Micros,
    /// The view is stale when nothing was heard for so long.
    pub stale: Micros,
    /// Wait before asking again: doubled with each failure, up to the longest, jittered.
    pub again: Micros,
    pub longest: Micros,
    /// The purges' mark is read so often; 0: never. An answer that takes three times as long is not waited for.
    pub prove_every: Micros,
}

impl Default for Rule {
    /// A broken drain shows after a second: what is unknown must show before that.
    fn default() -> Self {
        Self {
            progress_every: 150_000,
            silent: 150_000,
            stale: 500_000,
            again: 10_000,
            longest: 1_000_000,
            prove_every: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Asks when the time has come.
    Resting(Micros),
    Reading,
    Opening,
    Watching,
}

#[derive(Debug)]
pub struct Watcher {
    prefix: String,
    rule: Rule,
    phase: Phase,
    /// 0: nothing known.
    revision: Revision,
    /// The cluster whose history the revision is of.
    cluster: u64,
    members: BTreeMap<String, MemberRecord>,
    dispatchers: BTreeMap<String, DispatcherRecord>,
    purges: BTreeMap<String, Revision>,
    /// Fragments whose last one has not come.
    partial: Vec<Change>,
    /// History between the view and the next snapshot is gone.
    lost: bool,
    /// When the view was last known to be whole, and when anything was last heard.
    whole_at: Micros,
    heard: Micros,
    asked_progress: bool,
    failures: u32,
    seq: u64,
    told: View,
    dice: StdRng,
    /// When the mark is read next, when the question under way was asked, and what the view has to reach for the last answer.
    mark_next: Micros,
    mark_asked: Option<Micros>,
    mark: Option<(Micros, u64, Revision)>,
}

impl Watcher {
    pub fn new(prefix: &str, rule: Rule, now: Micros, seed: u64) -> Self {
        Self {
            prefix: prefix.to_owned(),
            rule,
            phase: Phase::Resting(now),
            revision: 0,
            cluster: 0,
            members: BTreeMap::new(),
            dispatchers: BTreeMap::new(),
            purges: BTreeMap::new(),
            partial: Vec::new(),
            lost: false,
            whole_at: now,
            heard: now,
            asked_progress: false,
            failures: 0,
            seq: 0,
            told: View::Unknown,
            dice: StdRng::seed_from_u64(seed),
            mark_next: now,
            mark_asked: None,
            mark: None,
        }
    }

    /// The view is the truth at this revision; 0: nothing is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn members(&self) -> &BTreeMap<String, MemberRecord> {
        &self.members
    }

    pub fn view(&self) -> View {
        self.told
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next(&self) -> Micros {
        let phase = match self.phase {
            Phase::Resting(until) => until,
            Phase::Watching if !self.asked_progress => self.heard + self.rule.progress_every,
            _ => self.heard + self.rule.progress_every + self.rule.silent,
        };
        let stale = self.whole_at + self.rule.stale;
        let next = if self.told == View::Current {
            phase.min(stale)
        } else {
            phase
        };
        match self.rule.prove_every {
            0 => next,
            every => next.min(self.mark_asked.map_or(self.mark_next, |at| at + 3 * every)),
        }
    }

    /// `wall_ms`: milliseconds since 1970, for members' starts only: by the clock that makes them younger, where a machine's wall
    /// clock has been stepped.
    pub fn handle(&mut self, now: Micros, wall_ms: u64, input: Input, out: &mut Vec<Output>) {
        if !matches!(input, Input::Tick | Input::Mark { .. }) {
            self.heard = now;
            self.asked_progress = false;
        }
        match input {
            Input::Snapshot { header, keys } => {
                if self.phase == Phase::Reading {
                    self.snapshot(now, wall_ms, header, keys, out);
                }
            }
            Input::Created { header } => {
                if self.phase == Phase::Opening {
                    self.phase = Phase::Watching;
                    self.failures = 0;
                    self.seen(now, header, out);
                }
            }
            Input::News {
                header,
                changes,
                fragment,
            } => {
                if self.phase == Phase::Watching && self.seen(now, header, out) {
                    self.partial.extend(changes);
                    if !fragment {
                        let changes = std::mem::take(&mut self.partial);
                        self.apply(wall_ms, changes, out);
                        // While it catches up, or keys of others move, a progress notice has to tell.
                        if self.revision >= header.revision {
                            self.whole(now, out);
                        }
                    }
                }
            }
            Input::Progress { header } => {
                if self.phase == Phase::Watching && self.seen(now, header, out) {
                    // Between two fragments nothing is whole.
                    if self.partial.is_empty() {
                        self.revision = self.revision.max(header.revision);
                        self.whole(now, out);
                    }
                }
            }
            Input::Compacted => self.history_lost(now, out),
            Input::Broken => self.rest(now),
            Input::Mark { asked, read } => {
                // Only the question under way: a late answer to one that was given up proves nothing newer.
                if self.mark_asked == Some(asked) {
                    self.mark_asked = None;
                    self.mark = read.map(|(cluster, revision)| (asked, cluster, revision));
                }
            }
            Input::Tick => self.tick(now, out),
        }
        self.prove(now, out);
    }

    /// Asks for the mark when its time has come, and tells what the last answer proves once the view has reached it.
    fn prove(&mut self, now: Micros, out: &mut Vec<Output>) {
        let every = self.rule.prove_every;
        if every == 0 {
            return;
        }
        if let Some((asked, cluster, revision)) = self.mark {
            // Purges may be missing where history was lost, until all is read anew.
            let known = self.revision > 0 && !self.lost && cluster == self.cluster;
            if known && self.revision >= revision {
                self.mark = None;
                out.push(Output::Proven {
                    ago: now.saturating_sub(asked),
                });
            }
        }
        let given_up = self.mark_asked.is_some_and(|at| now >= at + 3 * every);
        if now >= self.mark_next && (self.mark_asked.is_none() || given_up) {
            (self.mark_asked, self.mark_next) = (Some(now), now + every);
            out.push(Output::AskMark { asked: now });
        }
    }

    /// False for another history than the view's: another cluster's, or one that knows less than was seen.
    fn seen(&mut self, now: Micros, header: Header, out: &mut Vec<Output>) -> bool {
        if header.cluster == self.cluster && header.revision >= self.revision {
            return true;
        }
        self.history_lost(now, out);
        false
    }

    fn history_lost(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.partial.clear();
        self.lost = true;
        if matches!(self.phase, Phase::Opening | Phase::Watching) {
            out.push(Output::Hang);
            self.read(now, out);
        }
    }

    fn read(&mut self, now: Micros, out: &mut Vec<Output>) {
        (self.phase, self.heard) = (Phase::Reading, now);
        out.push(Output::AskSnapshot);
    }

    fn watch(&mut self, now: Micros, out: &mut Vec<Output>) {
        (self.phase, self.heard) = (Phase::Opening, now);
        out.push(Output::AskWatch {
            from: self.revision + 1,
        });
    }

    /// Asks again after a while of its own: all dispatchers lose etcd in the same moment.
    fn rest(&mut self, now: Micros) {
        self.partial.clear();
        let pause = (self.rule.again << self.failures.min(16)).min(self.rule.longest) as f64;
        self.failures += 1;
        self.phase = Phase::Resting(now + (pause * (0.5 + self.dice.gen::<f64>())) as Micros);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let quiet = now.saturating_sub(self.heard);
        match self.phase {
            Phase::Resting(until) if now >= until && (self.lost || self.revision == 0) => {
                self.read(now, out)
            }
            Phase::Resting(until) if now >= until => self.watch(now, out),
            Phase::Resting(_) => {}
            _ if quiet >= self.rule.progress_every + self.rule.silent => {
                out.push(Output::Hang);
                self.rest(now);
            }
            Phase::Watching if quiet >= self.rule.progress_every && !self.asked_progress => {
                self.asked_progress = true;
                out.push(Output::AskProgress);
            }
            _ => {}
        }
        if self.told == View::Current && now >= self.whole_at + self.rule.stale {
            self.tell(View::Stale, out);
        }
    }

    /// Everything up to the revision is in the view.
    fn whole(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.whole_at = now;
        self.tell(View::Current, out);
    }

    fn tell(&mut self, view: View, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.told, view) != view {
            out.push(Output::View(view));
        }
    }

    fn snapshot(
        &mut self,
        now: Micros,
        wall_ms: u64,
        header: Header,
        keys: Vec<KeyValue>,
        out: &mut Vec<Output>,
    ) {
        let foreign = self.revision > 0
            && (header.cluster != self.cluster || header.revision < self.revision);
        let lost = self.lost || foreign;
        let known = if foreign { 0 } else { self.revision };
        let (mut members, mut purges, mut dispatchers) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut told = Vec::new();
        for kv in keys {
            match self.read_put(&kv) {
                Ok(Some(Read::Member(address, record))) => {
                    members.insert(address, record);
                }
                Ok(Some(Read::Dispatcher(name, record))) => {
                    dispatchers.insert(name, record);
                }
                Ok(Some(Read::Purge(id, head))) => {
                    if kv.mod_revision > known {
                        told.push((kv.mod_revision, head));
                    }
                    purges.insert(id, kv.mod_revision);
                }
                Ok(None) => {}
                Err(bad) => out.push(Output::Bad(bad)),
            }
        }
        // Also the first one: what was written and taken away again since this began is in no snapshot.
        if lost || self.revision == 0 {
            // What was on its way then counts as missed, too.
            let since = self.whole_at.saturating_sub(self.rule.silent);
            let first = self.revision == 0;
            out.push(Output::Gap {
                age_us: now.saturating_sub(since),
                first,
            });
        }
        // Purges before members: a host that comes back is asked under them.
        told.sort_by_key(|(revision, _)| *revision);
        out.extend(told.into_iter().map(|(_, head)| Output::Purge(head)));
        (self.members, self.purges, self.lost) = (members, purges, false);
        (self.cluster, self.revision) = (header.cluster, header.revision);
        self.dispatchers = dispatchers;
        out.push(Output::Dispatchers(self.dispatchers.clone()));
        self.seq += 1;
        let lines = self
            .members
            .iter()
            .map(|(a, r)| MemberRecord::line(Some(r), a, wall_ms))
            .collect();
        out.push(Output::Members(EndpointListHead {
            form: EndpointListForm::Full as i32,
            seq: self.seq,
            endpoints: lines,
        }));
        self.whole(now, out);
        self.watch(now, out);
    }

    fn read_put(&self, kv: &KeyValue) -> Result<Option<Read>, layout::BadKey> {
        Ok(match layout::name(&self.prefix, &kv.key)? {
            Some(Name::Member(address)) => {
                Some(Read::Member(address, layout::member(&kv.key, &kv.value)?))
            }
            Some(Name::Dispatcher(name)) => Some(Read::Dispatcher(
                name,
                layout::dispatcher(&kv.key, &kv.value)?,
            )),
            Some(Name::Purge(id)) => {
                Some(Read::Purge(id, layout::purge(&kv.key, &kv.value)?.head()))
            }
            None => None,
        })
    }

    /// Whole revisions, in order; what is in the view already is left out.
    fn apply(&mut self, wall_ms: u64, changes: Vec<Change>, out: &mut Vec<Output>) {
        let from = self.revision;
        let (mut lines, mut roster) = (BTreeMap::new(), false);
        for change in changes.into_iter().filter(|c| c.revision() > from) {
            self.revision = self.revision.max(change.revision());
            match change {
                Change::Put(kv) => match self.read_put(&kv) {
                    Ok(Some(Read::Member(address, record))) => {
                        let line = MemberRecord::line(Some(&record), &address, wall_ms);
                        lines.insert(address.clone(), line);
                        self.members.insert(address, record);
                    }
                    Ok(Some(Read::Dispatcher(name, record))) => {
                        roster |= self.dispatchers.insert(name, record.clone()) != Some(record);
                    }
                    Ok(Some(Read::Purge(id, head))) => {
                        self.purges.insert(id, kv.mod_revision);
                        out.push(Output::Purge(head));
                    }
                    Ok(None) => {}
                    Err(bad) => out.push(Output::Bad(bad)),
                },
                Change::Delete { key, .. } => match layout::name(&self.prefix, &key) {
                    Ok(Some(Name::Member(address))) => {
                        lines.insert(address.clone(), MemberRecord::line(None, &address, wall_ms));
                        self.members.remove(&address);
                    }
                    Ok(Some(Name::Dispatcher(name))) => {
                        roster |= self.dispatchers.remove(&name).is_some()
                    }
                    Ok(Some(Name::Purge(id))) => drop(self.purges.remove(&id)),
                    Ok(None) => {}
                    Err(bad) => out.push(Output::Bad(bad)),
                },
            }
        }
        if roster {
            out.push(Output::Dispatchers(self.dispatchers.clone()));
        }
        if !lines.is_empty() {
            self.seq += 1;
            let members = lines.into_values().collect();
            out.push(Output::Members(EndpointListHead {
                form: EndpointListForm::Delta as i32,
                seq: self.seq,
                endpoints: members,
            }));
        }
    }
}

enum Read {
    Member(String, MemberRecord),
    Dispatcher(String, DispatcherRecord),
    Purge(String, PurgeHead),
}
