//! The verdict on a rule: the number of cases checked, and the violations found.
use crate::trace::ClientAttemptId;
use pointspindle::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Kind of the violation, such as `silent`, `late`, `twice`, `after`, `wrong`, `double`, `repeat`, `drain`, `cold` or
    /// `purge`.
    pub kind: String,
    /// Time of the violation, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// The client's attempt that the violation concerns, if there is one.
    pub request: Option<String>,
    /// Human-readable description.
    pub detail: String,
}

impl Violation {
    /// Creates a violation at `at`, in microseconds since the start of the run.
    pub(crate) fn new(kind: &str, at: Micros, id: Option<ClientAttemptId>, detail: String) -> Self {
        Self {
            kind: kind.into(),
            at_ms: at as f64 / 1e3,
            request: id.map(ClientAttemptId::trace),
            detail,
        }
    }
}

/// The verdict on one rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleVerdict {
    /// Short name of the rule.
    pub name: String,
    /// Description of the rule in one sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Number of cases that could have violated the rule; 0 if the run never exercised it.
    #[serde(rename = "checked")]
    pub cases: u64,
    /// Violations that break the rule.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Violations that no dispatcher could have avoided, because none could know of their cause. They cost service, but
    /// do not break the rule.
    #[serde(default)]
    #[serde(rename = "unknowing")]
    pub undetectable: Vec<Violation>,
}

impl RuleVerdict {
    /// Creates a verdict without cases.
    pub(crate) fn new(name: &str, description: &str) -> Self {
        Self {
            name: name.into(),
            description: description.into(),
            cases: 0,
            violations: Vec::new(),
            undetectable: Vec::new(),
        }
    }

    /// Adds a violation that breaks the rule.
    pub(crate) fn add_violation(
        &mut self,
        kind: &str,
        at: Micros,
        id: Option<ClientAttemptId>,
        detail: String,
    ) {
        self.violations.push(Violation::new(kind, at, id, detail));
    }

    /// Adds a violation that breaks the rule, or an undetectable one unless `detectable`.
    pub(crate) fn add_classified(&mut self, violation: Violation, detectable: bool) {
        if detectable {
            self.violations.push(violation);
        } else {
            self.undetectable.push(violation);
        }
    }

    /// Returns the number of violations of each kind, without undetectable ones, sorted by kind.
    pub fn violation_counts(&self) -> Vec<(String, usize)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind.clone()).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}
