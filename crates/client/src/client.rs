//! The client: dispatchers, what all calls share, and each call's way through its machine.
use crate::call::{Action, Effect, End, Machine, Outcome};
use crate::dial::Dial;
use crate::framed::{Framed, FramedTry};
use crate::http::{Http, HttpTry};
use crate::retry::{Micros, Retries, RetryRules};
use crate::{Misuse, Piece};
use bytes::{Bytes, BytesMut};
use pointspindle_transport::tls::TrustAnchors;
use pointspindle_transport::Network;
use rand::Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Request {
    pub object: String,
    pub part: u64,
    /// Group for purges; framed only, HTTP has it from the path.
    pub group: u64,
    /// Framed only; by HTTP the path decides.
    pub class: String,
    pub effect: Effect,
    /// From the call on; every try tells what is left of it.
    pub deadline: Duration,
    /// Names the work of a keyed request.
    pub key: String,
    pub size: Option<u64>,
    pub trace: String,
    pub head_only: bool,
    pub if_none_match: String,
    pub range: String,
    pub if_range: String,
}

impl Request {
    /// A read.
    pub fn get(object: impl Into<String>, class: impl Into<String>, deadline: Duration) -> Self {
        Self {
            object: object.into(),
            part: 0,
            group: 0,
            class: class.into(),
            effect: Effect::Safe,
            deadline,
            key: String::new(),
            size: None,
            trace: String::new(),
            head_only: false,
            if_none_match: String::new(),
            range: String::new(),
            if_range: String::new(),
        }
    }

    /// Work that a repeat under the same key does not do again, for `window` after its first try.
    pub fn keyed(self, key: impl Into<String>, window: Duration) -> Self {
        Self {
            key: key.into(),
            effect: Effect::Keyed { window },
            ..self
        }
    }

    /// Work that a repeat would do again.
    pub fn unsafe_to_repeat(self) -> Self {
        Self {
            effect: Effect::Unsafe,
            ..self
        }
    }

    /// One byte range, as in HTTP: `bytes=0-99`.
    pub fn range(self, range: impl Into<String>) -> Self {
        Self {
            range: range.into(),
            ..self
        }
    }

    fn check(&self, framed: bool) -> Result<(), Misuse> {
        let object = self.object.clone();
        let odd = |c: char| c.is_control() || c.is_whitespace();
        if !object.starts_with('/') || object.contains(odd) {
            return Err(Misuse::Object(object));
        }
        let fields = [
            ("trace", &self.trace),
            ("range", &self.range),
            ("if_range", &self.if_range),
            ("if_none_match", &self.if_none_match),
        ];
        if let Some((field, _)) = fields
            .into_iter()
            .find(|(_, v)| v.contains(char::is_control))
        {
            return Err(Misuse::Field { object, field });
        }
        if self.deadline.is_zero() {
            return Err(Misuse::Deadline(object));
        }
        match self.effect {
            Effect::Safe => Ok(()),
            _ if !framed => Err(Misuse::EffectOverHttp(object)),
            Effect::Keyed { .. } if self.key.is_empty() => Err(Misuse::NoKey(object)),
            _ => Ok(()),
        }
    }
}

enum Door {
    Framed(Framed),
    Http(Http),
}

enum Try {
    Framed(FramedTry),
    Http(HttpTry),
}

impl Door {
    async fn send(&self, request: &Request, call: &str, left: Micros) -> Result<Try, End> {
        match self {
            Self::Framed(d) => d.send(request, call, left).await.map(Try::Framed),
            Self::Http(d) => d.send(request, left).await.map(Try::Http),
        }
    }
}

impl Try {
    async fn next(&mut self) -> Result<Piece, End> {
        match self {
            Self::Framed(t) => t.next().await,
            Self::Http(t) => t.next().await,
        }
    }
}

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Builder {
    framed: bool,
    dispatchers: Vec<SocketAddr>,
    rules: RetryRules,
    connect: Duration,
    seed: Option<u64>,
    net: Network,
    trust: Option<(TrustAnchors, Option<String>)>,
}

impl Builder {
    /// These dispatchers, by the framed protocol.
    pub fn framed(self, dispatchers: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            framed: true,
            dispatchers: dispatchers.into_iter().collect(),
            ..self
        }
    }

    /// These dispatchers, by HTTP/1.1.
    pub fn http(self, dispatchers: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            framed: false,
            dispatchers: dispatchers.into_iter().collect(),
            ..self
        }
    }

    pub fn retries(self, rules: RetryRules) -> Self {
        Self { rules, ..self }
    }

    /// Longest wait for a connection; 250 ms by default.
    pub fn connect_timeout(self, connect: Duration) -> Self {
        Self { connect, ..self }
    }

    /// By TLS. The name that dispatchers' certificates must bear; each one's address by default.
    pub fn tls(self, trust: TrustAnchors, name: Option<String>) -> Self {
        Self {
            trust: Some((trust, name)),
            ..self
        }
    }

    /// Another network than the machine's own.
    pub fn net(self, net: Network) -> Self {
        Self { net, ..self }
    }

    /// Of what is drawn at random (waits, names of calls); drawn itself by default.
    pub fn seed(self, seed: u64) -> Self {
        Self {
            seed: Some(seed),
            ..self
        }
    }

    pub fn build(self) -> Result<Client, Misuse> {
        if self.dispatchers.is_empty() {
            return Err(Misuse::NoDispatcher);
        }
        let trouble = Arc::new(Mutex::new(None));
        let door = |at: &SocketAddr| {
            let (net, trust, trouble) = (self.net.clone(), self.trust.clone(), trouble.clone());
            let dial = Dial {
                at: *at,
                net,
                trust,
                patience: self.connect,
                trouble,
            };
            match self.framed {
                true => Door::Framed(Framed::new(dial)),
                false => Door::Http(Http::new(dial)),
            }
        };
        let doors: Vec<Door> = self.dispatchers.iter().map(door).collect();
        let seed = self.seed.unwrap_or_else(|| rand::thread_rng().gen());
        let retries = Mutex::new(Retries::new(self.rules, doors.len(), seed));
        // No two clients name their calls alike.
        let name = rand::thread_rng().gen();
        let next = std::sync::atomic::AtomicU64::new(0);
        let inner = Inner {
            framed: self.framed,
            doors,
            retries,
            born: Instant::now(),
            name,
            next,
            trouble,
        };
        Ok(Client {
            inner: Arc::new(inner),
        })
    }
}

struct Inner {
    framed: bool,
    doors: Vec<Door>,
    retries: Mutex<Retries>,
    born: Instant,
    name: u64,
    next: std::sync::atomic::AtomicU64,
    trouble: Arc<Mutex<Option<String>>>,
}

impl Inner {
    fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    fn retries(&self) -> MutexGuard<'_, Retries> {
        self.retries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Calls dispatchers. Clones share connections, budget and breakers.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client of {} dispatchers", self.inner.doors.len())
    }
}

impl Client {
    pub fn builder() -> Builder {
        Builder {
            framed: true,
            dispatchers: Vec::new(),
            rules: RetryRules::default(),
            connect: Duration::from_millis(250),
            seed: None,
            net: Network::Tcp,
            trust: None,
        }
    }

    /// Begins a call; its deadline counts from now. Nothing happens before [`Call::next`].
    pub fn call(&self, request: Request) -> Result<Call, Misuse> {
        request.check(self.inner.framed)?;
        let now = self.inner.now();
        let machine = Machine::new(request.effect, now + request.deadline.as_micros() as Micros);
        let number = self
            .inner
            .next
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let name = format!("{:016x}-{number}", self.inner.name);
        let (todo, live, wake) = (VecDeque::new(), None, None);
        let inner = self.inner.clone();
        Ok(Call {
            inner,
            request,
            name,
            machine,
            todo,
            live,
            wake,
            begun: false,
            ended: false,
        })
    }

    /// Why the last connection that was wanted was not made: for people, such as what is wrong with a certificate.
    pub fn last_trouble(&self) -> Option<String> {
        self.inner
            .trouble
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// A call to its end, with the whole body in memory.
    pub async fn fetch(
        &self,
        request: Request,
    ) -> Result<(Outcome, Option<crate::ResponseHead>, Bytes), Misuse> {
        let mut call = self.call(request)?;
        let (mut head, mut body) = (None, BytesMut::new());
        while let Some(piece) = call.next().await {
            match piece {
                Piece::Head(h) => head = Some(h),
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::End(outcome) => return Ok((outcome, head, body.freeze())),
            }
        }
        // A call always ends with its outcome.
        Ok((Outcome::Failed { may_have_run: true }, head, body.freeze()))
    }

    /// Closes connections that nothing waits on; calls under way lose theirs.
    pub async fn close(&self) {
        for door in &self.inner.doors {
            match door {
                Door::Framed(d) => d.close().await,
                Door::Http(d) => d.close(),
            }
        }
    }
}

/// A call under way. Dropped before its end, it is cancelled.
pub struct Call {
    inner: Arc<Inner>,
    request: Request,
    name: String,
    machine: Machine,
    todo: VecDeque<Action>,
    live: Option<(u32, Try)>,
    wake: Option<Micros>,
    begun: bool,
    ended: bool,
}

enum Step {
    Piece(u32, Result<Piece, End>),
    Wake,
}

impl Call {
    /// How many tries were made so far.
    pub fn tries(&self) -> u32 {
        self.machine.tries()
    }

    fn tell(&mut self, tell: impl FnOnce(&mut Machine, Micros, &mut Retries, &mut Vec<Action>)) {
        let mut act = Vec::new();
        let now = self.inner.now();
        tell(&mut self.machine, now, &mut self.inner.retries(), &mut act);
        self.todo.extend(act);
    }

    /// The next piece; none after [`Piece::End`]. Bodies wait for this to be called: what is not taken is not sent.
    pub async fn next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        if !self.begun {
            self.begun = true;
            self.tell(|m, now, shared, act| m.start(now, shared, act));
        }
        loop {
            while let Some(action) = self.todo.pop_front() {
                match action {
                    Action::Try {
                        number,
                        dispatcher,
                        left,
                    } => {
                        // Dropped before the next one goes out: its cancel is on its way first.
                        self.live = None;
                        // What connects in vain must not take longer than the client waits.
                        let longest = Duration::from_micros(left);
                        let door = &self.inner.doors[dispatcher];
                        let sent = door.send(&self.request, &self.name, left);
                        match tokio::time::timeout(longest, sent).await {
                            Ok(Ok(live)) => self.live = Some((number, live)),
                            Ok(Err(end)) => {
                                self.tell(|m, now, s, act| m.ended(now, number, end, s, act))
                            }
                            // In the middle of sending: it may be on its way.
                            Err(_) => self.tell(|m, now, s, act| m.wake(now, s, act)),
                        }
                    }
                    Action::Abandon { .. } => self.live = None,
                    Action::WakeAt(at) => self.wake = Some(at),
                    Action::Done(outcome) => {
                        self.live = None;
                        self.ended = true;
                        return Some(Piece::End(outcome));
                    }
                }
            }
            let wake = self
                .wake
                .map(|at| Duration::from_micros(at.saturating_sub(self.inner.now())));
            let step = tokio::select! {
                biased;
                next = progress(&mut self.live) => Step::Piece(next.0, next.1),
                _ = tokio::time::sleep(wake.unwrap_or(Duration::ZERO)) => Step::Wake,
            };
            match step {
                Step::Piece(number, Ok(Piece::Head(head))) => {
                    let now = self.inner.now();
                    if self.machine.head(now, number, &mut self.inner.retries()) {
                        return Some(Piece::Head(head));
                    }
                }
                Step::Piece(_, Ok(piece)) => return Some(piece),
                Step::Piece(number, Err(end)) => {
                    self.live = None;
                    self.tell(|m, now, shared, act| m.ended(now, number, end, shared, act));
                }
                Step::Wake => self.tell(|m, now, shared, act| m.wake(now, shared, act)),
            }
        }
    }
}

async fn progress(live: &mut Option<(u32, Try)>) -> (u32, Result<Piece, End>) {
    match live {
        Some((number, live)) => (*number, live.next().await),
        None => std::future::pending().await,
    }
}
