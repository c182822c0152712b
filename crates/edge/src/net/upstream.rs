//! Connections to members: one for each address, opened when first needed, closed when unused.
use super::hub::Hub;
use crate::core::Input;
use pointspindle_config::Upstream;
use pointspindle_link::{Inbound, Link, LinkOptions};
use pointspindle_wire::streams::Side;
use pointspindle_wire::{Frame, HelloHead};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Debug)]
enum Slot {
    Connecting,
    /// Open; `replaced`: another process than before answers, and what waited was meant for the old one.
    Ready {
        link: Link,
        replaced: bool,
    },
    Failed(String),
}

/// Why there is no connection for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoLink {
    Failed(String),
    /// There is one, to another process than the attempt was decided for.
    Replaced,
}

#[derive(Debug)]
struct Entry {
    slot: watch::Receiver<Slot>,
    used: Instant,
}

/// Forgets an address when its connection has ended or failed.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    settings: Upstream,
    entries: Arc<Mutex<HashMap<String, Entry>>>,
    /// Addresses that said hello on their last connection, and when: a new one is used after its hello. Forgotten with
    /// [`GREETED_KEPT`], or when the connection brings none.
    greeted: Arc<Mutex<HashMap<String, Instant>>>,
    /// This process, to members.
    process: u64,
}

/// An address that was not connected for so long is met as a stranger.
const GREETED_KEPT: Duration = Duration::from_secs(600);

impl Pool {
    pub fn new(settings: Upstream) -> Self {
        let process = std::hash::RandomState::new().build_hasher().finish().max(1);
        Self { settings, entries: Arc::default(), greeted: Arc::default(), process }
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The connection to an address, shared with whoever else waits for it. Safe to drop while waiting: the
    /// connecting goes on for the others.
    pub async fn link(&self, hub: &Arc<Hub>, address: &str) -> Result<Link, NoLink> {
        let (mut slot, waited) = {
            let mut entries = self.entries();
            match entries.get_mut(address) {
                Some(entry) if !self.is_spent(&entry.slot.borrow()) => {
                    entry.used = Instant::now();
                    let waited = matches!(*entry.slot.borrow(), Slot::Connecting);
                    (entry.slot.clone(), waited)
                }
                _ => {
                    let (sender, slot) = watch::channel(Slot::Connecting);
                    let entry = Entry { slot: slot.clone(), used: Instant::now() };
                    entries.insert(address.to_owned(), entry);
                    tokio::spawn(connect(hub.clone(), address.to_owned(), sender));
                    (slot, true)
                }
            }
        };
        let slot = slot.wait_for(|slot| !matches!(slot, Slot::Connecting)).await;
        match slot.as_deref() {
            Ok(Slot::Ready { replaced: true, .. }) if waited => Err(NoLink::Replaced),
            Ok(Slot::Ready { link, .. }) => Ok(link.clone()),
            Ok(Slot::Failed(why)) => Err(NoLink::Failed(why.clone())),
            _ => Err(NoLink::Failed("connecting was given up".into())),
        }
    }

    fn is_spent(&self, slot: &Slot) -> bool {
        match slot {
            Slot::Connecting => false,
            Slot::Ready { link, .. } => !link.takes_calls(),
            Slot::Failed(_) => true,
        }
    }

    pub fn count(&self) -> usize {
        self.entries().len()
    }

    /// Closes connections that nobody has used for long and forgets those that are spent.
    fn sweep(&self) {
        let idle = Duration::from_micros(self.settings.idle_us);
        self.entries().retain(|_, entry| {
            let slot = entry.slot.borrow();
            if self.is_spent(&slot) {
                return false;
            }
            let Slot::Ready { link, .. } = &*slot else { return true };
            let unused = link.open_streams() == 0 && entry.used.elapsed() > idle;
            if unused {
                link.close("unused");
            }
            !unused
        });
        self.greeted().retain(|_, at| at.elapsed() < GREETED_KEPT);
    }

    fn greeted(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.greeted.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn socket(&self, address: &str) -> std::io::Result<TcpStream> {
        let target: SocketAddr =
            address.parse().map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidInput, e))?;
        let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(ip) = self.settings.bind {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        socket.connect(target).await
    }
}

async fn connect(hub: Arc<Hub>, address: String, sender: watch::Sender<Slot>) {
    let pool = &hub.pool;
    let longest = Duration::from_micros(pool.settings.connect_us);
    let socket = match tokio::time::timeout(longest, pool.socket(&address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => return drop(sender.send_replace(Slot::Failed(e.to_string()))),
        Err(_) => return drop(sender.send_replace(Slot::Failed("no connection in time".into()))),
    };
    let options = LinkOptions { max_streams: pool.settings.max_streams };
    let (link, mut incoming) = Link::start(socket, Side::Caller, options);
    // So that a member which warms up knows whom to lease its work to.
    let own = HelloHead { process: pool.process, started_ago_us: None, dispatcher: true };
    let _ = link.control(Frame::Hello(own)).await;
    let mut replaced = false;
    if pool.greeted().contains_key(&address) {
        // It will say who it is: nothing goes out before that, or a process that has just started would get what was
        // decided for the one before. One that says nothing in time is as one that never did.
        let wait = Duration::from_micros(pool.settings.hello_us);
        let first = tokio::time::timeout(wait, incoming.next()).await.ok().flatten();
        if !matches!(first, Some(Inbound::Control(Frame::Hello(_)))) {
            pool.greeted().remove(&address);
        }
        replaced = first.is_some_and(|first| heard(&hub, &address, first));
    }
    sender.send_replace(Slot::Ready { link, replaced });
    while let Some(inbound) = incoming.next().await {
        heard(&hub, &address, inbound);
    }
}

/// Members ask nothing of a dispatcher; a go-away is noted by the link itself. True for the hello of another process
/// than was there before.
fn heard(hub: &Arc<Hub>, address: &str, inbound: Inbound) -> bool {
    match inbound {
        Inbound::Control(Frame::Hello(hello)) => greet(hub, address, hello),
        Inbound::Control(Frame::Lease(lease)) => {
            hub.tell(Input::Lease { member: address.to_owned(), lease });
            false
        }
        _ => false,
    }
}

/// True if another process was there before.
fn greet(hub: &Arc<Hub>, address: &str, hello: HelloHead) -> bool {
    hub.pool.greeted().insert(address.to_owned(), Instant::now());
    let replaced = hub.hello(address, hello);
    if replaced {
        tracing::info!(
            member = address,
            ago_us = hello.started_ago_us,
            "member has restarted, by its own word"
        );
    }
    replaced
}

pub(crate) async fn sweep(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        hub.pool.sweep();
        hub.metrics.members_connected.set(hub.pool.count() as i64);
    }
}
