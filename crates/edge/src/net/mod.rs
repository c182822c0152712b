//! The dispatcher's shell on tokio: listeners, connections to members, timers and files around one core.
//!
//! Each request is a task ([`exchange`]) that carries the core's orders out; the core sits behind one lock that is
//! held for an event's handling and never over an await.
mod control;
mod door_framed;
mod door_http;
mod exchange;
mod hub;
mod metrics;
mod saver;
mod upstream;

use hub::Hub;
use pointspindle_config::EdgeSettings;
use pointspindle_wire::{ListForm, ListHead, MemberLine, WireState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

/// Where it listens, with the ports that were given.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Bound {
    pub http: Option<SocketAddr>,
    pub framed: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub metrics: Option<SocketAddr>,
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("cannot listen on {address} ({what}): {source}")]
    Listen { what: &'static str, address: SocketAddr, source: std::io::Error },
}

/// A running dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    hub: Arc<Hub>,
    bound: Bound,
    stop: watch::Sender<bool>,
    doors: JoinSet<()>,
    helpers: JoinSet<()>,
}

impl Dispatcher {
    /// Reads the state file, takes the static list if there is no state, and listens.
    pub async fn start(settings: EdgeSettings, seed: u64) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let hub = Arc::new(Hub::new(settings.clone(), seed));
        if !saver::restore(&hub).await && !settings.members.is_empty() {
            hub.members(static_list(&settings));
        }
        let (mut doors, mut helpers) = (JoinSet::new(), JoinSet::new());
        let (stop, stopping) = watch::channel(false);
        let mut bound = Bound::default();
        let l = &settings.listen;
        // One set of places for all doors: descriptors are what runs out.
        let places = Arc::new(Semaphore::new(l.max_connections));
        if let Some(listener) = listen("http", l.http, &mut bound.http).await? {
            let door = Door { hub: hub.clone(), places: places.clone(), stopping: stopping.clone() };
            doors.spawn(accept(listener, door, door_http::serve));
        }
        if let Some(listener) = listen("framed", l.framed, &mut bound.framed).await? {
            let door = Door { hub: hub.clone(), places, stopping: stopping.clone() };
            doors.spawn(accept(listener, door, door_framed::serve));
        }
        // Operators get places of their own: a full door must not lock them out.
        let operators = || Arc::new(Semaphore::new(64));
        if let Some(listener) = listen("control", l.control, &mut bound.control).await? {
            let door = Door { hub: hub.clone(), places: operators(), stopping: stopping.clone() };
            doors.spawn(accept(listener, door, control::serve));
        }
        if let Some(listener) = listen("metrics", l.metrics, &mut bound.metrics).await? {
            let door = Door { hub: hub.clone(), places: operators(), stopping: stopping.clone() };
            doors.spawn(accept(listener, door, metrics::serve));
        }
        helpers.spawn(hub::run_timers(hub.clone()));
        helpers.spawn(upstream::sweep(hub.clone()));
        if settings.state_file.is_some() {
            helpers.spawn(saver::run(hub.clone()));
        }
        tracing::info!(name = %settings.name, ?bound, "dispatcher listens");
        Ok(Self { hub, bound, stop, doors, helpers })
    }

    pub fn bound(&self) -> &Bound {
        &self.bound
    }

    /// Takes nothing new, answers what was accepted, and ends. True if all was answered in time.
    pub async fn stop(mut self) -> bool {
        let _ = self.stop.send(true);
        let longest = Duration::from_micros(self.hub.settings.listen.drain_us);
        // A door ends with its last connection, and that with its last answer written.
        let drained = async {
            self.hub.drained().await;
            while self.doors.join_next().await.is_some() {}
        };
        let drained = tokio::time::timeout(longest, drained).await.is_ok();
        tracing::info!(drained, left = self.hub.open_requests(), "dispatcher stops");
        saver::save_now(&self.hub).await;
        self.doors.shutdown().await;
        self.helpers.shutdown().await;
        drained
    }
}

fn static_list(settings: &EdgeSettings) -> ListHead {
    let line = |m: &pointspindle_config::MemberSpec| MemberLine {
        address: m.address.clone(),
        state: WireState::Ready as i32,
        weight: m.weight,
        zone: m.zone.clone(),
        kind: m.role.word().into(),
        cell: m.cell,
        start: 0,
        started_ago_us: None,
    };
    let members = settings.members.iter().map(line).collect();
    ListHead { form: ListForm::Full as i32, seq: 0, members }
}

async fn listen(
    what: &'static str,
    wanted: Option<SocketAddr>,
    bound: &mut Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    let Some(address) = wanted else { return Ok(None) };
    let failed = |source| StartError::Listen { what, address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    *bound = Some(listener.local_addr().map_err(failed)?);
    Ok(Some(listener))
}

/// What a door's connections share.
#[derive(Clone)]
pub(crate) struct Door {
    pub hub: Arc<Hub>,
    places: Arc<Semaphore>,
    pub stopping: watch::Receiver<bool>,
}

impl Door {
    /// Returns when the dispatcher takes nothing new.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        let _ = stopping.wait_for(|stop| *stop).await;
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Accepts until told to stop; each connection is a task with a place. With no place left nothing is accepted:
/// the kernel's queue holds newcomers for a moment, and its limit turns the rest away.
async fn accept<F, Fut>(listener: TcpListener, door: Door, serve: F)
where
    F: Fn(Door, TcpStream) -> Fut + Send + 'static,
    Fut: std::future::Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let place = tokio::select! {
            place = door.places.clone().acquire_owned() => place,
            _ = door.stopped() => break,
        };
        let Ok(place) = place else { break };
        let socket = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = door.stopped() => break,
        };
        while connections.try_join_next().is_some() {}
        match socket {
            Ok((socket, _)) => {
                let served = serve(door.clone(), socket);
                door.hub.metrics.connections.inc();
                let hub = door.hub.clone();
                connections.spawn(async move {
                    served.await;
                    hub.metrics.connections.dec();
                    drop(place);
                });
            }
            Err(e) => {
                // Out of descriptors, most likely: a short wait lets others close instead of spinning.
                tracing::warn!(error = %e, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}
