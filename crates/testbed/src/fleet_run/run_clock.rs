//! The time of a run, on the recorder's clock.
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use std::time::Duration;

/// The recorder's clock with the moment at which the run's script and traffic began.
#[derive(Clone)]
pub(super) struct RunClock {
    recorder: Recorder,
    /// When the run began, in microseconds of the recorder's clock.
    pub began: Micros,
}

impl RunClock {
    /// A clock of a run that begins now.
    pub fn start(recorder: &Recorder) -> Self {
        Self {
            recorder: recorder.clone(),
            began: recorder.now(),
        }
    }

    /// Sleeps until a time of the run, in microseconds since it began.
    pub async fn sleep_until(&self, at: Micros) {
        let wait = (self.began + at).saturating_sub(self.recorder.now());
        tokio::time::sleep(Duration::from_micros(wait)).await;
    }
}
