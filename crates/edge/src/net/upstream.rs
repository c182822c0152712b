//! Connections to members: one for each address, opened when first needed, closed when unused.
use super::hub::Hub;
use pointspindle_config::Upstream;
use pointspindle_link::{Link, LinkOptions};
use pointspindle_wire::streams::Side;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Debug)]
enum Slot {
    Connecting,
    Ready(Link),
    Failed(String),
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
}

impl Pool {
    pub fn new(settings: Upstream) -> Self {
        Self { settings, entries: Arc::default() }
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The connection to an address, shared with whoever else waits for it. Safe to drop while waiting: the
    /// connecting goes on for the others.
    pub async fn link(&self, address: &str) -> Result<Link, String> {
        let mut slot = {
            let mut entries = self.entries();
            match entries.get_mut(address) {
                Some(entry) if !self.is_spent(&entry.slot.borrow()) => {
                    entry.used = Instant::now();
                    entry.slot.clone()
                }
                _ => {
                    let (sender, slot) = watch::channel(Slot::Connecting);
                    let entry = Entry { slot: slot.clone(), used: Instant::now() };
                    entries.insert(address.to_owned(), entry);
                    tokio::spawn(connect(self.clone(), address.to_owned(), sender));
                    slot
                }
            }
        };
        let slot = slot.wait_for(|slot| !matches!(slot, Slot::Connecting)).await;
        match slot.as_deref() {
            Ok(Slot::Ready(link)) => Ok(link.clone()),
            Ok(Slot::Failed(why)) => Err(why.clone()),
            _ => Err("connecting was given up".into()),
        }
    }

    fn is_spent(&self, slot: &Slot) -> bool {
        match slot {
            Slot::Connecting => false,
            Slot::Ready(link) => !link.takes_calls(),
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
            let Slot::Ready(link) = &*slot else { return true };
            let unused = link.open_streams() == 0 && entry.used.elapsed() > idle;
            if unused {
                link.close("unused");
            }
            !unused
        });
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

async fn connect(pool: Pool, address: String, sender: watch::Sender<Slot>) {
    let longest = Duration::from_micros(pool.settings.connect_us);
    let socket = match tokio::time::timeout(longest, pool.socket(&address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => return drop(sender.send_replace(Slot::Failed(e.to_string()))),
        Err(_) => return drop(sender.send_replace(Slot::Failed("no connection in time".into()))),
    };
    let options = LinkOptions { max_streams: pool.settings.max_streams };
    let (link, mut incoming) = Link::start(socket, Side::Caller, options);
    sender.send_replace(Slot::Ready(link));
    // Members have nothing to ask a dispatcher; a go-away is noted by the link itself.
    while incoming.next().await.is_some() {}
}

pub(crate) async fn sweep(hub: Arc<Hub>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        hub.pool.sweep();
        hub.metrics.members_connected.set(hub.pool.count() as i64);
    }
}
