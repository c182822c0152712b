//! Executes a run from setup to verdict.
use super::clients::Clients;
use super::dispatcher_instance::DispatcherInstance;
use super::environment::Environment;
use super::error::TestbedError;
use super::lateness::LatenessMonitor;
use super::outcome::{judge_run, Outcome};
use super::plan::RunPlan;
use super::run_clock::RunClock;
use super::script_player::ScriptPlayer;
use super::setup::Setup;
use super::traffic_player::play_traffic;
use crate::emulated_hosts::ZonePartitions;
use pointspindle::Micros;
use pointspindle_audit::trace::Recorder;
use std::path::Path;
use std::sync::Arc;

const MICROS_PER_MILLI: f64 = 1e3;

/// Plays script and traffic of a plan against the dispatchers and judges what was recorded.
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
    let zone_partitions = ZonePartitions::default();
    let hosts = setup.start_hosts(&zone_partitions).await?;
    let control_plane = setup.start_control_plane(&hosts).await?;
    let mut dispatchers = setup.start_dispatchers(&control_plane).await?;

    let lateness = LatenessMonitor::start();
    let clock = RunClock::start(&recorder);
    let clients = Arc::new(Clients {
        scenario: plan.scenario.clone(),
        recorder: recorder.clone(),
        targets: dispatchers.targets,
        network: environment.network(),
    });
    let traffic = tokio::spawn(play_traffic(clients, plan.traffic.clone(), clock.clone()));
    let mut script_player = ScriptPlayer {
        scenario: &plan.scenario,
        environment,
        injected_fault: plan.injected_fault,
        hosts: &hosts,
        zone_partitions: &zone_partitions,
        control_plane: &control_plane,
        dispatchers: &mut dispatchers.instances,
        recorder: &recorder,
        clock: &clock,
    };
    let played = script_player.play(&plan.script).await;
    let _ = traffic.await;
    lateness.stop();
    played?;
    stop_dispatchers(&mut dispatchers.instances).await?;

    let testbed_lateness_ms = checked_lateness_ms(plan, lateness.longest())?;
    let began = clock.began;
    Ok(judge_run(
        plan,
        &hosts,
        &recorder,
        began,
        testbed_lateness_ms,
    ))
}

async fn stop_dispatchers(dispatchers: &mut [DispatcherInstance]) -> Result<(), TestbedError> {
    for dispatcher in dispatchers {
        dispatcher.stop().await?;
    }
    Ok(())
}

/// The lateness in milliseconds, if the run's timing can be judged in spite of it.
fn checked_lateness_ms(plan: &RunPlan, lateness: Micros) -> Result<f64, TestbedError> {
    let lateness_ms = lateness as f64 / MICROS_PER_MILLI;
    let tolerance = plan.scenario.limits.rules.timing_tolerance;
    if lateness > tolerance {
        return Err(TestbedError::Late {
            lateness_ms,
            tolerance_ms: tolerance as f64 / MICROS_PER_MILLI,
        });
    }
    Ok(lateness_ms)
}
