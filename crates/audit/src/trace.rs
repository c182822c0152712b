//! What crossed the sockets, as clients, members and the control stand-in saw it: the auditor's only evidence.
use pointspindle::Micros;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Names a client's try wherever it goes: the call and the number of the try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TryId {
    pub call: u64,
    pub try_no: u32,
}

impl TryId {
    pub fn trace(self) -> String {
        format!("c{}.{}", self.call, self.try_no)
    }

    pub fn parse(trace: &str) -> Option<Self> {
        let (call, try_no) = trace.strip_prefix('c')?.split_once('.')?;
        Some(Self {
            call: call.parse().ok()?,
            try_no: try_no.parse().ok()?,
        })
    }
}

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// Complete; with the version that its bytes prove, none if they are wrong.
    Served {
        version: Option<u64>,
        bytes: u64,
        old: bool,
    },
    Refused {
        come_back: Option<Micros>,
    },
    Failed,
    /// The answer broke off and the client could tell.
    Broken,
    /// The connection was lost, or never made, before any answer.
    Lost,
    /// The client left by itself.
    LeftEarly,
}

/// How an attempt ended at a member's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Left {
    Answered,
    Cancelled,
    /// The member's process went, or the connection.
    Lost,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Saw {
    Asked {
        id: TryId,
        dispatcher: usize,
        class: usize,
        number: u64,
        group: u64,
        part: u64,
        deadline: Micros,
    },
    Ended {
        id: TryId,
        end: End,
    },
    /// Something came from a dispatcher that belongs to no open request.
    Stray {
        dispatcher: usize,
    },
    /// An attempt, or a fill, arrived at a member.
    Reached {
        host: String,
        /// Which dispatcher sent it; none: a member, for a fill.
        by: Option<usize>,
        id: Option<TryId>,
        attempt: u32,
        source: Option<String>,
        class: usize,
    },
    Gone {
        host: String,
        id: Option<TryId>,
        attempt: u32,
        by: Option<usize>,
        how: Left,
    },
    /// Control has told a dispatcher; `whole`: who is absent has left.
    ToldList {
        dispatcher: usize,
        whole: bool,
        ready: Vec<String>,
        /// Which start of each that is ready, in the same order.
        starts: Vec<u64>,
        out: Vec<String>,
    },
    ToldPurge {
        dispatcher: usize,
        object: Option<u64>,
        group: u64,
        version_from: u64,
    },
    /// A member of the run, told once by the rig, so that the evidence stands alone.
    Member {
        host: String,
        role: pointspindle_cache_model::Role,
        zone: usize,
        weight: f64,
    },
    /// A member's process began; `cold`: not at the run's start.
    Started {
        host: String,
        cold: bool,
        /// Which start of this member it is.
        start: u64,
    },
    Fell {
        host: String,
        why: String,
    },
    /// Nothing passes between it and dispatchers, in silence; or it does again.
    Parted {
        host: String,
        parted: bool,
    },
    /// Nothing passes between a zone and the others, in silence; or it does again.
    Walled {
        zone: usize,
        walled: bool,
    },
    Killed {
        dispatcher: usize,
    },
    /// It stands still, or goes on.
    Hung {
        dispatcher: usize,
        hung: bool,
    },
    /// It was told to stop: nothing new is taken, what was taken is answered.
    Stopping {
        dispatcher: usize,
    },
    Born {
        dispatcher: usize,
    },
    /// For people: what the script did.
    Trouble {
        text: String,
    },
}

/// One sight with its time, microseconds since the run's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    pub at: Micros,
    pub saw: Saw,
}

/// Shared by all who see. Grows with the run: about ten sights a request.
#[derive(Clone, Debug)]
pub struct Recorder {
    born: Instant,
    sights: Arc<Mutex<Vec<Sight>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            born: Instant::now(),
            sights: Arc::default(),
        }
    }
}

impl Recorder {
    pub fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sight>> {
        self.sights
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn saw(&self, saw: Saw) {
        self.saw_at(self.now(), saw);
    }

    pub fn saw_at(&self, at: Micros, saw: Saw) {
        self.lock().push(Sight { at, saw });
    }

    /// What was seen since the first `known` sights, in the order of its coming.
    pub fn since(&self, known: usize) -> Vec<Sight> {
        self.lock()
            .get(known..)
            .map_or(Vec::new(), <[Sight]>::to_vec)
    }

    /// Everything seen so far, by time.
    pub fn take(&self) -> Vec<Sight> {
        let mut sights = std::mem::take(&mut *self.lock());
        sights.sort_by_key(|s| s.at);
        sights
    }
}

impl Saw {
    /// The try that a sight is about.
    pub fn id(&self) -> Option<TryId> {
        match self {
            Self::Asked { id, .. } | Self::Ended { id, .. } => Some(*id),
            Self::Reached { id, .. } | Self::Gone { id, .. } => *id,
            _ => None,
        }
    }
}

/// Everything that happened to a call, in order, with what happened to the members that its attempts reached.
pub fn trail(sights: &[Sight], call: u64) -> Vec<&Sight> {
    let mine = |s: &Sight| s.saw.id().is_some_and(|id| id.call == call);
    let span = sights
        .iter()
        .filter(|s| mine(s))
        .fold((Micros::MAX, 0), |(a, b), s| (a.min(s.at), b.max(s.at)));
    let reached = |s: &Sight| match &s.saw {
        Saw::Reached { host, .. } if mine(s) => Some(host.clone()),
        _ => None,
    };
    let hosts: std::collections::BTreeSet<String> = sights.iter().filter_map(reached).collect();
    let about = |s: &Sight| match &s.saw {
        Saw::Fell { host, .. } | Saw::Started { host, .. } => hosts.contains(host),
        Saw::ToldList {
            ready,
            out,
            whole: false,
            ..
        } => ready.iter().chain(out).any(|h| hosts.contains(h)),
        Saw::Killed { .. } | Saw::Born { .. } | Saw::Trouble { .. } => true,
        Saw::Hung { .. } | Saw::Stopping { .. } | Saw::Walled { .. } => true,
        _ => false,
    };
    let near = |s: &Sight| s.at + 2_000_000 >= span.0 && s.at <= span.1 + 500_000;
    sights
        .iter()
        .filter(|s| mine(s) || (near(s) && about(s)))
        .collect()
}
