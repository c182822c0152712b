//! What the audit says of a rule: how many cases it checked, and the violations that it found.
use crate::trace::ClientAttemptId;
use pointspindle::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The kind: `silent`, `late`, `twice`, `after`, `wrong`, `double`, `repeat`, `drain`, `cold`, `purge`, ...
    pub kind: String,
    /// When it happened, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// The client's attempt that it concerns, if there is one.
    pub request: Option<String>,
    /// What happened, for people.
    pub detail: String,
}

impl Violation {
    /// A violation at `at`, in microseconds since the start of the run.
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
    /// The rule's short name.
    pub name: String,
    /// The rule in one sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Number of cases that could have violated it: 0 means that the run never exercised the rule.
    #[serde(rename = "checked")]
    pub cases: u64,
    /// Violations that count.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Violations that no dispatcher could have avoided, as none could know of their cause: service is lost, but
    /// the rule is kept.
    #[serde(default)]
    #[serde(rename = "unknowing")]
    pub undetectable: Vec<Violation>,
}

impl RuleVerdict {
    /// A verdict without cases yet.
    pub(crate) fn new(name: &str, description: &str) -> Self {
        Self {
            name: name.into(),
            description: description.into(),
            cases: 0,
            violations: Vec::new(),
            undetectable: Vec::new(),
        }
    }

    /// Files a violation that counts.
    pub(crate) fn violate(
        &mut self,
        kind: &str,
        at: Micros,
        id: Option<ClientAttemptId>,
        detail: String,
    ) {
        self.violations.push(Violation::new(kind, at, id, detail));
    }

    /// Files a violation with those that count, or with the undetectable ones.
    pub(crate) fn file(&mut self, violation: Violation, detectable: bool) {
        if detectable {
            self.violations.push(violation);
        } else {
            self.undetectable.push(violation);
        }
    }

    /// Number of violations of each kind.
    pub fn kinds(&self) -> Vec<(String, usize)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind.clone()).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}
