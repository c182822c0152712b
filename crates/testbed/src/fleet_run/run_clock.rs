//! The clock of a run.
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use std::time::Duration;

/// The recorder's clock with the start time of the run's script and traffic.
#[derive(Clone)]
pub(super) struct RunClock {
    recorder: Recorder,
    /// The start of the run in microseconds on the recorder's clock.
    pub run_start: Micros,
}

impl RunClock {
    /// Creates the clock of a run that starts now.
    pub fn start(recorder: &Recorder) -> Self {
        Self {
            recorder: recorder.clone(),
            run_start: recorder.now(),
        }
    }

    /// Sleeps until a time of the run, in microseconds since its start.
    pub async fn sleep_until(&self, at: Micros) {
        let wait = (self.run_start + at).saturating_sub(self.recorder.now());
        tokio::time::sleep(Duration::from_micros(wait)).await;
    }
}
