//! The work that requests cause at hosts, by class.
use pointspindle_scenario::Scenario;

/// Mean work of a request of each class.
#[derive(Clone, Debug)]
pub struct ClassWork {
    seconds: Vec<f64>,
}

impl ClassWork {
    /// Returns the mean work of the classes of a scenario.
    pub fn of(scenario: &Scenario) -> Self {
        let models = scenario.class_models();
        let seconds = models
            .iter()
            .map(|class| class.mean_transfer_time as f64 / 1e6);
        Self {
            seconds: seconds.collect(),
        }
    }

    /// Returns the mean work of a request of a class, in seconds of a link of weight 1; 0 for an unknown class.
    pub fn seconds(&self, class: usize) -> f64 {
        self.seconds.get(class).copied().unwrap_or(0.0)
    }
}
