//! Start, new configurations, stop.
//!
//! Owed at SIGTERM, and by whom: what is open, and what comes for a while on open connections, on new ones and in the
//! listener's queue, is served as ever; then each connection answers what it has, refuses what still comes, and closes
//! ([`crate::front`]). All that is open has its final answer before the process may be killed ([`crate::shutdown`]); it ends
//! with its last connection. Lists, purges and new configurations are followed to the end: attempts are still made.
use crate::board::{follow, lock, Taken};
use crate::connection_pool::{meet_all, sweep, Lines, PlatformDesk};
use crate::front::{accept, Front};
use crate::settings::{Shape, ShapeError};
use crate::shutdown::{Phase, Schedule};
use crate::stalls::{self, Stalls};
use pointspindle_clock::WallClock;
use pointspindle_dispatcher::admission::Limits;
use pointspindle_dispatcher::core::Input;
use pointspindle_dispatcher::net::connection_registry::{expire, ConnectionRegistry};
use pointspindle_dispatcher::net::core_handle::{run_timers, CoreHandle};
use pointspindle_platform_protocol::start_config::{self, StartConfigError};
use pointspindle_transport::Network;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A configuration that cannot be used is read again after this at first, then twice as long each time: it may be half written.
const READ_AGAIN: Duration = Duration::from_millis(20);
const READ_AGAIN_MOST: Duration = Duration::from_secs(1);
/// Time between two lines of figures in the log.
const FIGURES: Duration = Duration::from_secs(10);

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Start(#[from] StartConfigError),
    #[error("{file}: {source}")]
    Shape { file: String, source: ShapeError },
    #[error("{name}: {value:?} is not an address and port")]
    Address { name: &'static str, value: String },
    #[error("cannot listen on {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs a dispatcher until SIGTERM, and returns once all that was taken is answered. `listen` goes before the file's own.
pub async fn run(file: PathBuf, listen: Option<String>) -> Result<(), RunError> {
    let clock = WallClock::start();
    let mut stop = signal(SignalKind::terminate())?;
    let again = signal(SignalKind::hangup())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let start = start_config::read(&file)?;
    let shape = Shape::new(&start);
    let shape = shape.map_err(|source| RunError::Shape {
        file: file.display().to_string(),
        source,
    })?;
    let shape = Arc::new(shape);
    let address = match listen {
        None => shape.listen,
        Some(value) => value.parse().map_err(|_| RunError::Address {
            name: "BALANCER_LISTEN",
            value,
        })?,
    };
    let stalls = Stalls::new(Instant::now());
    let mut meetings = None;
    let desk = Arc::new(CoreHandle::new(
        Arc::new(shape.edge.clone()),
        shape.seed,
        |meter| {
            let (lines, wanted) = Lines::new(&shape, meter, stalls.clone());
            meetings = Some(wanted);
            lines
        },
    ));
    let mut helpers = JoinSet::new();
    helpers.spawn(run_timers(desk.clone()));
    helpers.spawn(sweep(desk.clone()));
    helpers.spawn(figures(desk.clone(), clock));
    if let Some(wanted) = meetings {
        helpers.spawn(meet_all(desk.clone(), wanted));
    }
    // Drains and purges are known before the first request.
    let mut taken = Taken::new(desk.clone(), shape.clone(), clock);
    taken.known(start.known_state);
    let taken = Arc::new(Mutex::new(taken));
    let (board, named) = watch::channel(start.discovery_address);
    helpers.spawn(follow(taken.clone(), named));
    helpers.spawn(reload(file, again, taken.clone(), board));

    let l = &shape.edge.listen;
    let keeper = ConnectionRegistry::new(Limits {
        hard: l.max_connections,
        soft: l.soft_connections,
        per_address: l.address_connections,
        networks: Vec::new(),
    });
    helpers.spawn(expire(keeper.clone(), l.idle_timeout_us));
    let (phase, is_phase) = watch::channel(Phase::Serving);
    let (close, is_closed) = watch::channel(false);
    helpers.spawn(stalls::watch(stalls.clone()));
    let front = Front::new(desk.clone(), shape.clone(), keeper, is_phase, stalls);
    let listener = Network::Tcp.listen(address).await;
    let listener = listener.map_err(|source| RunError::Listen { address, source })?;
    let mut door = tokio::spawn(accept(listener, front, is_closed));
    tracing::info!(name = start.name, %address, last = lock(&taken).last(), "dispatcher listens");

    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(open = desk.open_requests(), "stopping");
    let told = Instant::now();
    let longest = shape
        .edge
        .classes
        .iter()
        .map(|class| class.deadline_us)
        .max()
        .unwrap_or_default();
    let schedule = Schedule::new(Duration::from_micros(longest));
    let steps = async {
        // Whoever still comes is served.
        tokio::time::sleep_until(told + schedule.refuse).await;
        phase.send_replace(Phase::Refusing);
        tokio::time::sleep_until(told + schedule.end).await;
        desk.apply(Input::FinishAll);
        phase.send_replace(Phase::Ending);
        tokio::time::sleep_until(told + schedule.close_listener).await;
        close.send_replace(true);
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = &mut door => {}
        () = steps => {}
    }
    tracing::info!("stopped");
    Ok(())
}

/// A new configuration at each SIGHUP, as soon as it can be used.
async fn reload(
    file: PathBuf,
    mut again: Signal,
    taken: Arc<Mutex<Taken>>,
    board: watch::Sender<String>,
) {
    while again.recv().await.is_some() {
        let mut pause = READ_AGAIN;
        loop {
            match start_config::read(&file) {
                Ok(new) => {
                    tracing::info!(board = new.discovery_address, "configuration read again");
                    lock(&taken).known(new.known_state);
                    board.send_replace(new.discovery_address);
                    break;
                }
                Err(e) if pause == READ_AGAIN => {
                    tracing::error!(error = %e, "the new configuration cannot be used yet; the old one stays");
                }
                Err(_) => {}
            }
            tokio::select! {
                _ = again.recv() => {}
                _ = tokio::time::sleep(pause) => {}
            }
            pause = (pause * 2).min(READ_AGAIN_MOST);
        }
    }
}

async fn figures(desk: Arc<PlatformDesk>, clock: WallClock) {
    loop {
        tokio::time::sleep(FIGURES).await;
        if let Some(step_ms) = clock.step_ms() {
            tracing::warn!(step_ms, "the wall clock has been stepped since the start");
        }
        let (connections, endpoints) = desk.transport.count();
        tracing::info!(
            open = desk.open_requests(),
            held = desk.meter.buffered_bytes(),
            connections,
            endpoints,
            ended = %desk.counters_line(),
            "figures"
        );
    }
}
