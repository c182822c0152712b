//! A scenario on sockets: dispatchers, members as stand-ins, clients, control. Either in real time on loopback with dispatchers as
//! processes, or all in this process on a simulated network under a paused clock.
mod by_etcd;
mod clients;
mod control;
pub(crate) mod http_client;
mod process;
mod relay;
mod task;

use crate::sockets::{EmulatedHosts, EmulatedHostsOptions, LedgerFactory, Walls, EPOCH};
use by_etcd::{ByEtcd, Flapping};
use clients::{Clients, Target};
use control::{Control, News};
use pointspindle::{Micros, ObjectId};
use pointspindle_audit::trace::{Recorder, TraceEntry, TraceEvent};
use pointspindle_audit::{self as audit, service::Service, RuleVerdict};
use pointspindle_cache_model::{CacheModel, HostSpec, ModelInput, Role};
use pointspindle_fleet_model::control_plane::{ControlPlane, ListedEndpoint};
use pointspindle_fleet_model::purge_propagation::purge_drop_delay;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::script::{purge_groups, ListedState};
use pointspindle_scenario::{derive_seed, Scenario, Script, ScriptStep, Traffic};
use pointspindle_transport::simulated::SimulatedNetwork;
use pointspindle_transport::Network;
use process::{source_ip, Process};
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
pub enum TestbedError {
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
    pub rules: Vec<RuleVerdict>,
    pub trace: Vec<TraceEntry>,
    pub testbed_lateness_ms: f64,
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
    plant: Option<InjectedFault>,
) -> Result<Outcome, TestbedError> {
    run_watched(scenario, program, folder, plant, Recorder::default()).await
}

/// Plays a day with the real shell on a simulated network, under a paused clock: with latency, loss and partitions, in the time
/// that its work takes. Blocks; must not be called on a runtime's thread.
pub fn shell(
    scenario: &Scenario,
    folder: &Path,
    plant: Option<InjectedFault>,
) -> Result<Outcome, TestbedError> {
    if matches!(
        plant,
        Some(
            InjectedFault::DuplicateAttempts
                | InjectedFault::DropResponses
                | InjectedFault::DelayResponses
        )
    ) {
        return Err(TestbedError::Io(std::io::Error::other(
            "this plant is a relay between real sockets",
        )));
    }
    if let Some(why) = scenario.requires_processes() {
        return Err(TestbedError::Io(std::io::Error::other(why)));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let net = SimulatedNetwork::new(
            scenario.network.simulated,
            derive_seed(scenario.seed, "network"),
        );
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
    plant: Option<InjectedFault>,
    recorder: Recorder,
) -> Result<Outcome, TestbedError> {
    if let Some(why) = scenario.requires_simulated_network() {
        return Err(TestbedError::Io(std::io::Error::other(why)));
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
) -> Result<Outcome, TestbedError> {
    if let Some(why) = scenario.requires_simulated_network() {
        return Err(TestbedError::Io(std::io::Error::other(why)));
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
    plant: Option<InjectedFault>,
    recorder: Recorder,
) -> Result<Outcome, TestbedError> {
    std::fs::create_dir_all(folder)?;
    let mut planted = scenario.clone();
    if let Rig::Shell(_) = rig {
        // What is on its way when somebody decides otherwise arrives all the same, and so late at most.
        let w = scenario.network.simulated;
        let resent = if w.loss > 0.0 {
            2 * w.resend
        } else {
            Duration::ZERO
        };
        planted.limits.rules.timing_tolerance +=
            (w.latency + w.jitter + resent).as_micros() as Micros;
    }
    let scenario = &planted.with_injected_fault(plant);
    let hosts = scenario.hosts(|n| rig.member_address(n));
    let script = Script::generate(scenario, &hosts, |n| rig.member_address(n));
    let traffic = Traffic::generate(scenario);
    let mut options = EmulatedHostsOptions {
        fills_from: Some(fills_from()),
        net: rig.net(),
        ..Default::default()
    };
    if scenario.dispatchers.uses_hello {
        let of = scenario.clone();
        let make = move |role, weight, started| of.work_ledger(role, weight, started);
        options.hello = Some(LedgerFactory(Arc::new(make)));
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
        .any(|(_, step)| matches!(step, ScriptStep::ZonePartition { .. }))
    {
        let site = |dispatcher| scenario.branch_of_dispatcher(dispatcher);
        options.walls = Some((
            walls.clone(),
            (0..scenario.dispatcher_count()).map(site).collect(),
        ));
    }
    let all: Vec<HostSpec> = hosts.iter().chain(&script.newcomers).cloned().collect();
    if plant == Some(InjectedFault::IgnorePurge) {
        options.deaf_to_age = all
            .iter()
            .filter(|h| h.role == Role::Cache)
            .map(|h| h.address.clone())
            .collect();
    }
    for h in &all {
        let (host, role) = (h.address.clone(), h.role);
        recorder.record_at(
            0,
            TraceEvent::HostDeclared {
                host,
                role,
                zone: h.zone,
                weight: h.weight,
            },
        );
    }
    let world = derive_seed(scenario.seed, "world");
    let mut world = CacheModel::new(
        scenario.cache_model_settings(),
        hosts.clone(),
        scenario.size_catalogue(),
        world,
    );
    for newcomer in &script.newcomers {
        world.add_host(newcomer.clone());
    }
    let stage = EmulatedHosts::new(world, scenario.class_models(), recorder.clone(), options);
    stage.start().await?;

    let dispatchers = scenario.dispatcher_count();
    let mut book = ControlPlane::new(scenario.limits.rules, &hosts, dispatchers, scenario.seed);
    if plant == Some(InjectedFault::DuplicateAttempts) {
        let to: SocketAddr = hosts[0].address.parse().map_err(std::io::Error::other)?;
        let relay = relay::doubling(to, member_ip(5_000)).await?;
        book.set_address(0, relay.to_string());
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
        let from = recorder.now() + scenario.duration() / 3;
        let shortest = scenario
            .workload
            .classes
            .iter()
            .map(|c| c.deadline)
            .min()
            .unwrap_or(0);
        let delay = Duration::from_micros(shortest + scenario.limits.rules.timing_tolerance)
            + Duration::from_millis(400);
        match plant {
            Some(InjectedFault::DropResponses) if number == 0 => {
                http = relay::bytes(http, relay::Answers::Swallow, from, recorder.clone()).await?;
            }
            Some(InjectedFault::DelayResponses) if number == 0 => {
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
        Ok::<(), TestbedError>(())
    };
    played?;
    stopped.await?;
    let late = lateness.load(Ordering::Relaxed);
    let rig_late_ms = late as f64 / 1e3;
    if late > scenario.limits.rules.timing_tolerance {
        return Err(TestbedError::Late(
            rig_late_ms,
            scenario.limits.rules.timing_tolerance as f64 / 1e3,
        ));
    }
    let mut sights = recorder.take_entries();
    // The day's own time: everything before it is at 0.
    for sight in &mut sights {
        sight.at = sight.at.saturating_sub(began);
        if let TraceEvent::RequestSent { deadline, .. } = &mut sight.event {
            *deadline = deadline.saturating_sub(began);
        }
    }
    let mut effects: Vec<(String, u32)> = stage.with_model(|w| {
        w.effect_counts()
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
        trace: sights,
        testbed_lateness_ms: rig_late_ms,
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
    stage: &EmulatedHosts,
    recorder: &Recorder,
    news: &mpsc::UnboundedSender<News>,
    processes: &mut [Seat],
    began: Micros,
    plant: Option<InjectedFault>,
    rig: &Rig<'_>,
    walls: &Walls,
) -> Result<(), TestbedError> {
    // A fault's end is on the model's clock.
    let shift = EPOCH + began;
    for (at, step) in &script.steps {
        sleep_to(recorder, began, *at).await;
        match step {
            ScriptStep::Note(text) => {
                recorder.record(TraceEvent::ScriptNote { text: text.clone() })
            }
            ScriptStep::Fault { host, fault } => {
                stage.apply(ModelInput::Fault {
                    host: *host,
                    fault: fault.clone().delayed_by(shift),
                });
            }
            ScriptStep::EndpointUpdate {
                host,
                state: listed,
            } => {
                let (start, started) = stage.with_model(|w| w.incarnation(*host));
                let started = started.map(|at| at - EPOCH);
                let address = stage.address_of(*host);
                let line = ListedEndpoint {
                    host: *host,
                    address,
                    state: *listed,
                    incarnation: start,
                    started_at: started,
                };
                // A process that is down again by now is not announced.
                if *listed != ListedState::Ready || stage.with_model(|w| w.is_up(*host)) {
                    let _ = news.send(News::Change(line));
                }
            }
            ScriptStep::PurgeGroup { group } => {
                for group in purge_groups(scenario, *group) {
                    purge(scenario, stage, news, None, group, plant);
                }
            }
            ScriptStep::PurgeObject { object, group } => {
                purge(scenario, stage, news, Some(object.clone()), *group, plant);
            }
            // Troubles may overlap: who is down is not killed again, who is up is not started.
            ScriptStep::KillDispatcher { dispatcher }
            | ScriptStep::PauseDispatcher { dispatcher, .. }
            | ScriptStep::StopDispatcher { dispatcher }
                if !processes[*dispatcher].is_up() => {}
            ScriptStep::StartDispatcher { dispatcher } if processes[*dispatcher].is_up() => {}
            ScriptStep::PauseDispatcher {
                dispatcher,
                paused: hung,
            } => {
                processes[*dispatcher].hang(*hung).await?;
                recorder.record(TraceEvent::DispatcherPaused {
                    dispatcher: *dispatcher,
                    paused: *hung,
                });
            }
            ScriptStep::StopDispatcher { dispatcher } => {
                recorder.record(TraceEvent::DispatcherStopping {
                    dispatcher: *dispatcher,
                });
                let _ = news.send(News::Down {
                    dispatcher: *dispatcher,
                });
                processes[*dispatcher].tell_to_stop().await?;
            }
            ScriptStep::ZonePartition {
                zone,
                directions: ways,
                ..
            } => {
                recorder.record(TraceEvent::ZonePartitioned {
                    zone: *zone,
                    partitioned: ways.is_some(),
                });
                walls.set(*zone, *ways);
            }
            ScriptStep::KillDispatcher { dispatcher } => {
                recorder.record(TraceEvent::DispatcherKilled {
                    dispatcher: *dispatcher,
                });
                let _ = news.send(News::Down {
                    dispatcher: *dispatcher,
                });
                processes[*dispatcher].kill().await?;
            }
            ScriptStep::StartDispatcher { dispatcher } => {
                if processes[*dispatcher].is_leaving() {
                    // By now it is gone, and what it was told with it.
                    recorder.record(TraceEvent::DispatcherKilled {
                        dispatcher: *dispatcher,
                    });
                }
                processes[*dispatcher].start(scenario).await?;
                tell_up(news, *dispatcher, processes[*dispatcher].doors().control).await;
                recorder.record(TraceEvent::DispatcherStarted {
                    dispatcher: *dispatcher,
                });
            }
            ScriptStep::Reachability {
                host,
                reachable: true,
            } => {
                stage.open_way(*host).await?;
            }
            ScriptStep::Reachability {
                host,
                reachable: false,
            } => stage.cut_way(*host),
            ScriptStep::Partition {
                host,
                partitioned: parted,
            } => {
                let (Rig::Shell(net), Ok(at)) =
                    (rig, stage.address_of(*host).parse::<SocketAddr>())
                else {
                    continue;
                };
                recorder.record(TraceEvent::HostPartitioned {
                    host: stage.address_of(*host),
                    partitioned: *parted,
                });
                for dispatcher in 0..processes.len() {
                    if *parted {
                        net.partition(source_ip(dispatcher), at.ip());
                    } else {
                        net.heal(source_ip(dispatcher), at.ip());
                    }
                }
            }
            ScriptStep::EndpointUpdateDelay { extra: more, until } => {
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
    stage: &EmulatedHosts,
    news: &mpsc::UnboundedSender<News>,
    object: Option<String>,
    group: u64,
    plant: Option<InjectedFault>,
) {
    let at = stage.now();
    let number = object.as_deref().map(|o| ObjectId::named(o).0);
    stage.apply(ModelInput::OriginUpdate {
        object: number,
        group,
    });
    let _ = news.send(News::Purge { object, group });
    if plant == Some(InjectedFault::IgnorePurge) {
        return;
    }
    let hosts: Vec<usize> = stage.with_model(|w| w.hosts().map(|(id, _)| id).collect());
    for host in hosts {
        let after = purge_drop_delay(scenario, number.unwrap_or(group), host, at);
        let stage = stage.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(after)).await;
            stage.apply(ModelInput::Purge {
                host,
                object: number,
                group,
                at,
            });
        });
    }
}
