//! The dispatchers of a run: the faults of each process, its planned end and its successor.
use super::observations::{ProcessEnd, RequestOutcome};
use super::plan::Plan;
use super::replicated_discovery::REPLICAS;
use super::run::{random_duration, DispatcherSlot, Run};
use crate::support::{configuration, with_known, with_replacements};
use crate::support::{DispatcherProcess, InjectedFaults};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const DISPATCHER_SALT: u64 = 1_000;
/// Time between the longest deadline and the kill.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Upper limit at which the longest deadline counts.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum time to wait for a response after the deadline of its request.
const LAST_RESPONSE_GRACE: Duration = Duration::from_secs(2);
const CLOCK_OFFSETS_SECONDS: [f64; 7] = [-3_600.0, -5.0, -1.0, 0.0, 1.0, 5.0, 3_600.0];

impl Run {
    /// Runs successive processes, each with faults until its planned end.
    pub async fn run_dispatchers(self: Arc<Self>, slot: Arc<DispatcherSlot>) {
        let mut rng = self.plan.rng(DISPATCHER_SALT + slot.number as u64);
        let mut discovery = self.discovery.addresses[0];
        while !self.over.is_cancelled() {
            let faults = InjectedFaults::new();
            let text = self.configuration(&slot, discovery);
            let mut dispatcher = DispatcherProcess::spawn_at(slot.address, &faults, text).await;
            *slot.sigterm_at.lock().unwrap() = None;
            while self.pause(random_duration(&mut rng, 200, 900)).await && dispatcher.is_running() {
                match rng.gen_range(0..10) {
                    0..4 => {
                        discovery = self.reload_repeatedly(&slot, &dispatcher, &mut rng).await;
                    }
                    4..6 if self.plan.clock_steps => {
                        let offset =
                            CLOCK_OFFSETS_SECONDS[rng.gen_range(0..CLOCK_OFFSETS_SECONDS.len())];
                        faults.step_wall_clock(offset);
                    }
                    6 => {
                        dispatcher.signal("-STOP");
                        tokio::time::sleep(random_duration(&mut rng, 20, 250)).await;
                        dispatcher.signal("-CONT");
                    }
                    7..10 => break,
                    _ => {}
                }
            }
            if !dispatcher.is_running() {
                let crash = format!("dispatcher {} exited unexpectedly", slot.number);
                self.recorder.crashed(crash);
                return;
            }
            if self.over.is_cancelled() {
                self.wait_for_responses().await;
                return;
            }
            self.shut_down(&slot, &mut dispatcher, &mut rng).await;
        }
    }

    /// Reloads up to four times in a row; returns the discovery server of the last configuration.
    async fn reload_repeatedly(
        &self,
        slot: &DispatcherSlot,
        dispatcher: &DispatcherProcess,
        rng: &mut StdRng,
    ) -> SocketAddr {
        let mut discovery = self.discovery.addresses[0];
        for _ in 0..rng.gen_range(1..=4) {
            discovery = self.discovery.addresses[rng.gen_range(0..REPLICAS)];
            dispatcher.reload(self.configuration(slot, discovery));
            tokio::time::sleep(random_duration(rng, 0, 40)).await;
        }
        discovery
    }

    /// Sends SIGTERM and sometimes another signal, and kills the process at the earliest allowed time.
    async fn shut_down(
        &self,
        slot: &DispatcherSlot,
        dispatcher: &mut DispatcherProcess,
        rng: &mut StdRng,
    ) {
        *slot.sigterm_at.lock().unwrap() = Some(Instant::now());
        dispatcher.signal("-TERM");
        let kill_at =
            Instant::now() + self.plan.deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        if rng.gen_bool(0.3) {
            tokio::time::sleep(random_duration(rng, 0, 300)).await;
            let signal = match rng.gen_bool(0.5) {
                true => "-TERM",
                false => "-HUP",
            };
            dispatcher.signal(signal);
        }
        tokio::time::sleep_until(kill_at).await;
        if dispatcher.is_running() {
            dispatcher.signal("-KILL");
        } else if let Some(code) = dispatcher.exit_code().filter(|code| *code != 0) {
            let crash = format!(
                "dispatcher {} exited with code {code} after SIGTERM",
                slot.number
            );
            self.recorder.crashed(crash);
        }
        let killed_at = Instant::now();
        self.recorder.lock().process_ends.push(ProcessEnd {
            dispatcher: slot.number,
            killed_at,
        });
    }

    /// Waits until no request is open, or until none can be answered in time.
    async fn wait_for_responses(&self) {
        let all_ended = async {
            while self.has_open_requests() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = tokio::time::timeout(self.plan.deadline + LAST_RESPONSE_GRACE, all_ended).await;
    }

    fn has_open_requests(&self) -> bool {
        let observations = self.recorder.lock();
        observations
            .requests
            .values()
            .any(|request| request.outcome == RequestOutcome::Open)
    }

    /// Returns the configuration of a dispatcher, with all events published so far.
    fn configuration(&self, slot: &DispatcherSlot, discovery: SocketAddr) -> String {
        let text = configuration(slot.address, discovery, &[]);
        let text = with_known(&text, &self.discovery.known());
        apply_plan(text, &self.plan, slot.number)
    }
}

fn apply_plan(configuration: String, plan: &Plan, number: usize) -> String {
    let deadline = format!("\"DeadlineMs\":{}.0", plan.deadline.as_millis());
    let key_lifetime = format!("\"KeyTtlMs\":{}.0", plan.key_lifetime.as_millis());
    let repeat = format!("\"{}\"", plan.submit_repeat.setting());
    let dispatchers = format!("\"Balancers\":{}", plan.dispatchers);
    let own_number = format!("\"Me\":{number}");
    let dispatchers_by_zone = format!("\"InstancesByZone\":[0,{}]", plan.dispatchers);
    let max_attempts = format!("\"MaxAttempts\":{}", plan.max_attempts);
    let descriptor_limit = format!("\"sockets\":{}", plan.descriptor_limit);
    with_replacements(
        configuration,
        &[
            ("\"DeadlineMs\":5000.0", &deadline),
            ("\"KeyTtlMs\":2000.0", &key_lifetime),
            ("\"deduplicated\"", &repeat),
            ("\"Balancers\":1", &dispatchers),
            ("\"Me\":0", &own_number),
            ("\"InstancesByZone\":[0,1]", &dispatchers_by_zone),
            ("\"MaxAttempts\":6", &max_attempts),
            ("\"sockets\":256", &descriptor_limit),
        ],
    )
}
