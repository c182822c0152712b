//! A scenario on sockets: dispatchers, members as stand-ins, clients, control. Either in real time on loopback with dispatchers as
//! processes, or all in this process on a simulated network under a paused clock.
mod by_etcd;
mod clients;
mod control;
pub(crate) mod http_client;
mod process;
mod relay;
mod task;

use pointspindle_audit::{self as audit, service::Service, Rule};
use pointspindle_fleet_model::control_plane::{Book, Line};
use pointspindle_cache_model::{HostSpec, In, Role, World};
use pointspindle_audit::trace::{Recorder, Saw, Sight};
use pointspindle_scenario::script::{purge_groups, Listed};
use pointspindle_scenario::{stream, Scenario, Script, Step, Traffic};
use crate::sockets::{Ledgers, Stage, StageOptions, Walls, EPOCH};
use by_etcd::{ByEtcd, Flapping};
use clients::{Clients, Target};
use control::{Control, News};
use pointspindle::{Micros, ObjectId};
use pointspindle_transport::simulated::SimulatedNetwork;
use pointspindle_transport::Network;
use process::{source_ip, Process};
use pointspindle_fleet_model::purge_propagation::drop_delay;
use pointspindle_scenario::fault_injection::Plant;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use task::{Seat, Task};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// The rig itself could not run, or was what was late: the run says nothing of the dispatchers.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    #[error("dispatcher {0}: {1}")]
    Dispatcher(usize, String),
    #[error("the rig was {0:.0} ms late and may be {1:.0} ms: this machine cannot play the day")]
    Late(f64, f64),
    #[error("the rig: {0}")]
    Io(#[from] std::io::Error),
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    pub service: Service,
    pub rules: Vec<Rule>,
    pub sights: Vec<Sight>,
    pub rig_late_ms: f64,
}

/// A loopback address for the nth of a role. Each run has a block of its own by its process: two runs on one machine
/// must not find each other's members at a port that one of them has left for a moment.
pub(crate) fn loopback(role: u8, n: usize) -> IpAddr {
    let block = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        block,
        role + (n / 250) as u8,
        (n % 250 + 1) as u8,
    ))
}

fn member_ip(n: usize) -> IpAddr {
    loopback(0, n)
}

/// Each member has an address of its own, so that no outgoing connection takes its port while it is down.
fn member_address(n: usize) -> String {
    let listener =
        std::net::TcpListener::bind((member_ip(n), 0)).expect("a loopback address has free ports");
    listener.local_addr().expect("it is bound").to_string()
}

fn fills_from() -> IpAddr {
    loopback(200, 0)
}

/// Plays a day. `program` is the dispatcher's binary; `folder` gets settings, state and logs of each.
pub async fn run(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    plant: Option<Plant>,
) -> Result<Outcome, RigError> {
    run_watched(scenario, program, folder, plant, Recorder::default()).await
}

/// Plays a day with the real shell on a simulated network, under a paused clock: with latency, loss and partitions, in the time
/// that its work takes. Blocks; must not be called on a runtime's thread.
pub fn shell(
    scenario: &Scenario,
    folder: &Path,
    plant: Option<Plant>,
) -> Result<Outcome, RigError> {
    if matches!(plant, Some(Plant::Double | Plant::Silent | Plant::Late)) {
        return Err(RigError::Io(std::io::Error::other(
            "this plant is a relay between real sockets",
        )));
    }
    if let Some(why) = scenario.needs_fleet() {
        return Err(RigError::Io(std::io::Error::other(why)));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let net = SimulatedNetwork::new(scenario.weather, stream(scenario.seed, "network"));
        play(
            scenario,
            &Rig::Shell(net),
            folder,
            plant,
            Recorder::default(),
        )
        .await
    })
}

/// Where a day is played.
enum Rig<'a> {
    /// The dispatcher's binary, and the stand-in etcd from which they learn of lists and purges, if so.
    Processes(&'a Path, Option<Flapping>),
    Shell(SimulatedNetwork),
}

impl Rig<'_> {
    fn net(&self) -> Network {
        match self {
            Self::Processes(..) => Network::Tcp,
            Self::Shell(net) => Network::Simulated(net.clone()),
        }
    }

    fn member_address(&self, n: usize) -> String {
        match self {
            Self::Processes(..) => member_address(n),
            Self::Shell(_) => SocketAddr::new(member_ip(n), 9_000).to_string(),
        }
    }

    fn seat(&self, folder: &Path, number: usize) -> Seat {
        match self {
            Self::Processes(program, etcd) => {
                let endpoint = etcd.as_ref().map(|e| e.endpoint.clone());
                Seat::Process(Process::new(program, folder, number, endpoint))
            }
            Self::Shell(net) => Seat::Task(Task::new(net.clone(), folder, number)),
        }
    }
}

/// ... with a recorder that somebody looks into as the day goes. Its times count from its own birth.
pub async fn run_watched(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    plant: Option<Plant>,
    recorder: Recorder,
) -> Result<Outcome, RigError> {
    if let Some(why) = scenario.needs_shell() {
        return Err(RigError::Io(std::io::Error::other(why)));
    }
    play(
        scenario,
        &Rig::Processes(program, None),
        folder,
        plant,
        recorder,
    )
    .await
}

/// Plays a day with lists and purges through a stand-in etcd whose streams break again and again, and whose history is compacted.
pub async fn run_by_etcd(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
) -> Result<Outcome, RigError> {
    if let Some(why) = scenario.needs_shell() {
        return Err(RigError::Io(std::io::Error::other(why)));
    }
    let etcd = Flapping::start().await?;
    play(
        scenario,
        &Rig::Processes(program, Some(etcd)),
        folder,
        None,
        Recorder::default(),
    )
    .await
}

async fn play(
    scenario: &Scenario,
    rig: &Rig<'_>,
    folder: &Path,
    plant: Option<Plant>,
    recorder: Recorder,
) -> Result<Outcome, RigError> {
    std::fs::create_dir_all(folder)?;
    let mut planted = scenario.clone();
    if let Rig::Shell(_) = rig {
        // What is on its way when somebody decides otherwise arrives all the same, and so late at most.
        let w = scenario.weather;
        let resent = if w.loss > 0.0 {
            2 * w.resend
        } else {
            Duration::ZERO
        };
        planted.rules.slack += (w.latency + w.jitter + resent).as_micros() as Micros;
    }
    let planted = match plant {
        Some(Plant::Cold) => planted.with_unseen_starts(),
        Some(Plant::Alone) => Scenario {
            told_alone: true,
            ..planted
        },
        _ => planted,
    };
    let scenario = &planted;
    let hosts = scenario.hosts(|n| rig.member_address(n));
    let script = Script::write(scenario, &hosts, |n| rig.member_address(n));
    let traffic = Traffic::draw(scenario);
    let mut options = StageOptions {
        fills_from: Some(fills_from()),
        net: rig.net(),
        ..Default::default()
    };
    if scenario.hello {
        let of = scenario.clone();
        let make = move |role, weight, started| of.ledger(role, weight, started);
        options.hello = Some(Ledgers(Arc::new(make)));
    }
    for dispatcher in 0..scenario.dispatcher_count() {
        options
            .dispatchers
            .insert(source_ip(dispatcher), dispatcher);
    }
    let walls = Walls::default();
    if script
        .steps
        .iter()
        .any(|(_, step)| matches!(step, Step::Wall { .. }))
    {
        let site = |dispatcher| scenario.branch_of_dispatcher(dispatcher);
        options.walls = Some((
            walls.clone(),
            (0..scenario.dispatcher_count()).map(site).collect(),
        ));
    }
    let all: Vec<HostSpec> = hosts.iter().chain(&script.newcomers).cloned().collect();
    if plant == Some(Plant::Purge) {
        options.deaf_to_age = all
            .iter()
            .filter(|h| h.role == Role::Cache)
            .map(|h| h.address.clone())
            .collect();
    }
    for h in &all {
        let (host, role) = (h.address.clone(), h.role);
        recorder.saw_at(
            0,
            Saw::Member {
                host,
                role,
                zone: h.zone,
                weight: h.weight,
            },
        );
    }
    let world = stream(scenario.seed, "world");
    let mut world = World::new(
        scenario.world_spec(),
        hosts.clone(),
        scenario.catalogue(),
        world,
    );
    for newcomer in &script.newcomers {
        world.add(newcomer.clone());
    }
    let stage = Stage::new(world, scenario.class_models(), recorder.clone(), options);
    stage.start().await?;

    let dispatchers = scenario.dispatcher_count();
    let mut book = Book::new(scenario.rules, &hosts, dispatchers, scenario.seed);
    if plant == Some(Plant::Double) {
        let to: SocketAddr = hosts[0].address.parse().map_err(std::io::Error::other)?;
        let relay = relay::doubling(to, member_ip(5_000)).await?;
        book.rename(0, relay.to_string());
    }
    let zones = scenario.zones();
    let line = |h: &HostSpec| (h.role.name().to_owned(), zones[h.zone].clone(), h.weight);
    let members = all
        .iter()
        .enumerate()
        .map(|(n, h)| (n, line(h)))
        .collect::<HashMap<_, _>>();
    let (news, heard) = mpsc::unbounded_channel();
    match rig {
        Rig::Processes(_, Some(etcd)) => {
            let (stage, recorder) = (stage.clone(), recorder.clone());
            let control = ByEtcd::new(etcd, stage, recorder, members, &hosts, dispatchers).await?;
            tokio::spawn(control.run(heard));
        }
        _ => {
            let (stage, recorder) = (stage.clone(), recorder.clone());
            let control = Control {
                book,
                stage,
                recorder,
                members,
                plant,
                net: rig.net(),
            };
            tokio::spawn(control.run(heard));
        }
    }

    let mut processes = Vec::new();
    let mut targets = Vec::new();
    for number in 0..dispatchers {
        let mut process = rig.seat(folder, number);
        process.start(scenario).await?;
        let (mut http, framed) = (process.doors().http, process.doors().framed);
        // Half of the day passes first, so that the rest of it is as always.
        let from = recorder.now() + scenario.length() / 3;
        let shortest = scenario
            .classes
            .iter()
            .map(|c| c.deadline)
            .min()
            .unwrap_or(0);
        let delay =
            Duration::from_micros(shortest + scenario.rules.slack) + Duration::from_millis(400);
        match plant {
            Some(Plant::Silent) if number == 0 => {
                http = relay::bytes(http, relay::Answers::Swallow, from, recorder.clone()).await?;
            }
            Some(Plant::Late) if number == 0 => {
                http = relay::bytes(http, relay::Answers::Delay(delay), from, recorder.clone())
                    .await?;
            }
            _ => {}
        }
        targets.push(Target {
            number,
            http,
            framed,
            pool: Default::default(),
            link: Default::default(),
        });
        processes.push(process);
    }
    for (number, process) in processes.iter().enumerate() {
        tell_up(&news, number, process.doors().control).await;
    }

    let lateness = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch(lateness.clone()));
    let began = recorder.now();
    let clients = Arc::new(Clients {
        scenario: scenario.clone(),
        recorder: recorder.clone(),
        targets,
        net: rig.net(),
    });
    let load = tokio::spawn(play_traffic(
        clients,
        traffic.clone(),
        recorder.clone(),
        began,
    ));
    let played = play_script(
        scenario,
        &script,
        &stage,
        &recorder,
        &news,
        &mut processes,
        began,
        plant,
        rig,
        &walls,
    )
    .await;
    let _ = load.await;
    watch.abort();
    let stopped = async {
        for process in &mut processes {
            process.stop().await?;
        }
        Ok::<(), RigError>(())
    };
    played?;
    stopped.await?;
    let late = lateness.load(Ordering::Relaxed);
    let rig_late_ms = late as f64 / 1e3;
    if late > scenario.rules.slack {
        return Err(RigError::Late(
            rig_late_ms,
            scenario.rules.slack as f64 / 1e3,
        ));
    }
    let mut sights = recorder.take();
    // The day's own time: everything before it is at 0.
    for sight in &mut sights {
        sight.at = sight.at.saturating_sub(began);
        if let Saw::Asked { deadline, .. } = &mut sight.saw {
            *deadline = deadline.saturating_sub(began);
        }
    }
    let mut effects: Vec<(String, u32)> = stage.with(|w| {
        w.effects()
            .iter()
            .map(|(work, n)| (work.to_string(), *n))
            .collect()
    });
    effects.sort();
    let mut rules = audit::judge(scenario, &sights, &effects);
    let service = audit::service::service(scenario, &traffic, &sights);
    rules.push(audit::sizes::judge(scenario, &service));
    Ok(Outcome {
        service,
        rules,
        sights,
        rig_late_ms,
    })
}

async fn tell_up(news: &mpsc::UnboundedSender<News>, dispatcher: usize, at: SocketAddr) {
    let (done, told) = oneshot::channel();
    let _ = news.send(News::Up {
        dispatcher,
        at,
        done,
    });
    let _ = tokio::time::timeout(Duration::from_secs(5), told).await;
}

/// The longest that a timer of the rig came late.
async fn watch(lateness: Arc<AtomicU64>) {
    let step = Duration::from_millis(5);
    loop {
        let due = tokio::time::Instant::now() + step;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_micros() as u64;
        lateness.fetch_max(late, Ordering::Relaxed);
    }
}

async fn sleep_to(recorder: &Recorder, began: Micros, at: Micros) {
    let wait = (began + at).saturating_sub(recorder.now());
    tokio::time::sleep(Duration::from_micros(wait)).await;
}

async fn play_traffic(clients: Arc<Clients>, traffic: Traffic, recorder: Recorder, began: Micros) {
    let mut calls = JoinSet::new();
    for (number, call) in traffic.calls.into_iter().enumerate() {
        sleep_to(&recorder, began, call.at).await;
        calls.spawn(clients.clone().call(number as u64, call));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

#[allow(clippy::too_many_arguments)]
async fn play_script(
    scenario: &Scenario,
    script: &Script,
    stage: &Stage,
    recorder: &Recorder,
    news: &mpsc::UnboundedSender<News>,
    processes: &mut [Seat],
    began: Micros,
    plant: Option<Plant>,
    rig: &Rig<'_>,
    walls: &Walls,
) -> Result<(), RigError> {
    // A fault's end is on the model's clock.
    let shift = EPOCH + began;
    for (at, step) in &script.steps {
        sleep_to(recorder, began, *at).await;
        match step {
            Step::Say(text) => recorder.saw(Saw::Trouble { text: text.clone() }),
            Step::Fault { host, fault } => {
                stage.tell(In::Fault {
                    host: *host,
                    fault: fault.clone().later(shift),
                });
            }
            Step::List { host, listed } => {
                let (start, started) = stage.with(|w| w.start(*host));
                let started = started.map(|at| at - EPOCH);
                let address = stage.address_of(*host);
                let line = Line {
                    host: *host,
                    address,
                    listed: *listed,
                    start,
                    started,
                };
                // A process that is down again by now is not announced.
                if *listed != Listed::Ready || stage.with(|w| w.is_up(*host)) {
                    let _ = news.send(News::Change(line));
                }
            }
            Step::Purge { group } => {
                for group in purge_groups(scenario, *group) {
                    purge(scenario, stage, news, None, group, plant);
                }
            }
            Step::PurgeObject { object, group } => {
                purge(scenario, stage, news, Some(object.clone()), *group, plant);
            }
            // Troubles may overlap: who is down is not killed again, who is up is not started.
            Step::Kill { dispatcher }
            | Step::Hang { dispatcher, .. }
            | Step::Stop { dispatcher }
                if !processes[*dispatcher].is_up() => {}
            Step::Revive { dispatcher } if processes[*dispatcher].is_up() => {}
            Step::Hang { dispatcher, hung } => {
                processes[*dispatcher].hang(*hung).await?;
                recorder.saw(Saw::Hung {
                    dispatcher: *dispatcher,
                    hung: *hung,
                });
            }
            Step::Stop { dispatcher } => {
                recorder.saw(Saw::Stopping {
                    dispatcher: *dispatcher,
                });
                let _ = news.send(News::Down {
                    dispatcher: *dispatcher,
                });
                processes[*dispatcher].tell_to_stop().await?;
            }
            Step::Wall { zone, ways, .. } => {
                recorder.saw(Saw::Walled {
                    zone: *zone,
                    walled: ways.is_some(),
                });
                walls.set(*zone, *ways);
            }
            Step::Kill { dispatcher } => {
                recorder.saw(Saw::Killed {
                    dispatcher: *dispatcher,
                });
                let _ = news.send(News::Down {
                    dispatcher: *dispatcher,
                });
                processes[*dispatcher].kill().await?;
            }
            Step::Revive { dispatcher } => {
                if processes[*dispatcher].is_leaving() {
                    // By now it is gone, and what it was told with it.
                    recorder.saw(Saw::Killed {
                        dispatcher: *dispatcher,
                    });
                }
                processes[*dispatcher].start(scenario).await?;
                tell_up(news, *dispatcher, processes[*dispatcher].doors().control).await;
                recorder.saw(Saw::Born {
                    dispatcher: *dispatcher,
                });
            }
            Step::Way { host, open: true } => {
                stage.open_way(*host).await?;
            }
            Step::Way { host, open: false } => stage.cut_way(*host),
            Step::Part { host, parted } => {
                let (Rig::Shell(net), Ok(at)) =
                    (rig, stage.address_of(*host).parse::<SocketAddr>())
                else {
                    continue;
                };
                recorder.saw(Saw::Parted {
                    host: stage.address_of(*host),
                    parted: *parted,
                });
                for dispatcher in 0..processes.len() {
                    if *parted {
                        net.partition(source_ip(dispatcher), at.ip());
                    } else {
                        net.heal(source_ip(dispatcher), at.ip());
                    }
                }
            }
            Step::ListDelay { more, until } => {
                let _ = news.send(News::Delay {
                    more: *more,
                    until: began + until,
                });
            }
        }
    }
    Ok(())
}

/// The origin has new versions from now on; dispatchers hear of it late, members drop their older copies by
/// themselves, each in its own time.
fn purge(
    scenario: &Scenario,
    stage: &Stage,
    news: &mpsc::UnboundedSender<News>,
    object: Option<String>,
    group: u64,
    plant: Option<Plant>,
) {
    let at = stage.now();
    let number = object.as_deref().map(|o| ObjectId::named(o).0);
    stage.tell(In::Change {
        object: number,
        group,
    });
    let _ = news.send(News::Purge { object, group });
    if plant == Some(Plant::Purge) {
        return;
    }
    let hosts: Vec<usize> = stage.with(|w| w.hosts().map(|(id, _)| id).collect());
    for host in hosts {
        let after = drop_delay(scenario, number.unwrap_or(group), host, at);
        let stage = stage.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(after)).await;
            stage.tell(In::Purge {
                host,
                object: number,
                group,
                at,
            });
        });
    }
}
