//! Executes a run from setup to the verdicts on it.
use super::clients::Clients;
use super::dispatcher_instance::DispatcherInstance;
use super::environment::Environment;
use super::error::TestbedError;
use super::lateness::LatenessMonitor;
use super::outcome::{judge_run, Outcome};
use super::plan::RunPlan;
use super::run_clock::RunClock;
use super::script_player::ScriptPlayer;
use super::setup::{Fleet, Setup};
use super::traffic_player::play_traffic;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use std::path::Path;
use std::sync::Arc;

const MICROS_PER_MILLI: f64 = 1e3;

/// Plays the script and the traffic of a plan against the dispatchers and judges the recorded trace.
pub(super) async fn execute(
    plan: &RunPlan,
    environment: &Environment<'_>,
    folder: &Path,
    recorder: Recorder,
) -> Result<Outcome, TestbedError> {
    let setup = Setup {
        plan,
        environment,
        folder,
        recorder: &recorder,
    };
    let mut fleet = setup.start().await?;
    let lateness = LatenessMonitor::start();
    let clock = RunClock::start(&recorder);
    let played = play(plan, environment, &recorder, &clock, &mut fleet).await;
    lateness.stop();
    played?;
    stop_dispatchers(&mut fleet.dispatchers).await?;
    let testbed_lateness_ms = checked_lateness_ms(plan, lateness.max_lateness())?;
    Ok(judge_run(
        plan,
        &fleet.hosts,
        &recorder,
        clock.run_start,
        testbed_lateness_ms,
    ))
}

/// Plays the script and the traffic until both have ended.
async fn play(
    plan: &RunPlan,
    environment: &Environment<'_>,
    recorder: &Recorder,
    clock: &RunClock,
    fleet: &mut Fleet,
) -> Result<(), TestbedError> {
    let clients = Arc::new(Clients {
        scenario: plan.scenario.clone(),
        recorder: recorder.clone(),
        targets: std::mem::take(&mut fleet.targets),
        network: environment.network(),
    });
    let traffic = tokio::spawn(play_traffic(clients, plan.traffic.clone(), clock.clone()));
    let mut script_player = ScriptPlayer {
        scenario: &plan.scenario,
        environment,
        injected_fault: plan.injected_fault,
        hosts: &fleet.hosts,
        zone_partitions: &fleet.zone_partitions,
        control_plane: &fleet.control_plane,
        dispatchers: &mut fleet.dispatchers,
        recorder,
        clock,
    };
    let played = script_player.play(&plan.script).await;
    let _ = traffic.await;
    played
}

async fn stop_dispatchers(dispatchers: &mut [DispatcherInstance]) -> Result<(), TestbedError> {
    for dispatcher in dispatchers {
        dispatcher.stop().await?;
    }
    Ok(())
}

/// Returns the lateness in milliseconds, or an error if it exceeds the timing tolerance.
fn checked_lateness_ms(plan: &RunPlan, lateness: Micros) -> Result<f64, TestbedError> {
    let lateness_ms = lateness as f64 / MICROS_PER_MILLI;
    let tolerance = plan.scenario.limits.rules.timing_tolerance;
    if lateness > tolerance {
        return Err(TestbedError::LateTimers {
            lateness_ms,
            tolerance_ms: tolerance as f64 / MICROS_PER_MILLI,
        });
    }
    Ok(lateness_ms)
}
