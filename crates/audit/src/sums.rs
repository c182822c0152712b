//! What all dispatchers came to together: at each member, over the fleet, and for the clients of each site.
//!
//! From the sights alone, like the rules. Bounds are the day's own (`[sums]` of its file): what a fleet may come to follows from
//! its size and its settings, which `docs/design/sums.md` turns into figures.
use super::cold::{self, ColdPeak};
use super::service::Service;
use super::{Evidence, RuleVerdict};
use crate::trace::{ClientOutcome, TraceEntry, TraceEvent};
use pointspindle::Micros;
use pointspindle_cache_model::Role;
use pointspindle_scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Second attempts are counted over so long: a second has too few first ones.
const SPAN: Micros = 2_000_000;
/// Fewer first attempts than this in a span say nothing of a share.
const FEW: u64 = 20;
/// Of what a site served before a trouble, that much is its old service again; in so long a stretch.
const BACK: f64 = 0.95;
const STRETCH: usize = 3;

/// A member's worst moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    pub host: String,
    pub at_s: f64,
    /// Requests under way, or attempts in a second, and for each unit of the member's weight.
    pub count: u64,
    pub by_weight: f64,
    /// Dispatchers that had a part in it.
    pub dispatchers: u64,
}

/// What dispatchers came to at the members of a role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleTotals {
    pub role: String,
    /// Most under way at one member, and most attempts at one in a second.
    pub under_way: Peak,
    pub attempts: Peak,
    /// Most attempts at one that had come back, within a second of its start.
    pub returned: Peak,
}

/// How a site's clients fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteService {
    pub name: String,
    pub struck: bool,
    pub service: f64,
    /// Of the whole seconds before the first trouble that strikes a site, and from then on.
    pub before: f64,
    pub since: f64,
    /// Worst 3 s from then on.
    pub worst: f64,
    /// Seconds after the last such trouble until 3 s in a row are at 0.95 of the service before; none: never.
    pub back_after_s: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTotals {
    pub roles: Vec<RoleTotals>,
    /// Attempts beyond the first of a try, for each first one: the day, and the worst 2 s and when they began.
    pub second_attempts: f64,
    pub second_attempts_worst: f64,
    pub second_attempts_at_s: f64,
    /// Jain's index over the dispatchers' shares of tries served, the least share, and whose it is.
    pub fairness: f64,
    pub least_served: f64,
    pub least_dispatcher: usize,
    pub mean_served: f64,
    pub sites: Vec<SiteService>,
    /// The most for a cold member in a window: of starts that those who sent it knew of, and of others.
    pub cold: ColdPeak,
    pub cold_unknown: ColdPeak,
    pub left: Left,
}

/// Clients that left before their end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Left {
    pub clients: u64,
    /// ... before any attempt had begun.
    pub unsent: u64,
    /// Attempts that reached a member after the leaving, and the longest time after it.
    pub attempts: u64,
    pub longest_ms: f64,
}

/// A client that left has gone: whatever begins later than this, the lines' own delays aside, breaks the bound.
const GONE: Micros = 100_000;

/// How many are under way at a member, by dispatcher.
#[derive(Default)]
struct Now {
    by: HashMap<usize, u64>,
    second: (Micros, HashMap<usize, u64>),
    started: Option<Micros>,
}

fn raise(peak: &mut Peak, host: &str, weight: f64, at: Micros, by: &HashMap<usize, u64>) {
    let count: u64 = by.values().sum();
    let by_weight = count as f64 / weight.max(1e-9);
    if by_weight > peak.by_weight {
        let dispatchers = by.values().filter(|n| **n > 0).count() as u64;
        *peak = Peak {
            host: host.into(),
            at_s: at as f64 / 1e6,
            count,
            by_weight,
            dispatchers,
        };
    }
}

pub fn measure_totals(
    scenario: &Scenario,
    service: &Service,
    sights: &[TraceEntry],
) -> FleetTotals {
    let evidence = Evidence::new(scenario, sights);
    let mut sums = FleetTotals {
        roles: at_members(sights),
        ..FleetTotals::default()
    };
    second_attempts(&evidence, &mut sums);
    fairness(&evidence, &mut sums);
    sums.sites = sites(scenario, service);
    (_, sums.cold, sums.cold_unknown) = cold::look(&evidence);
    sums.left = left(&evidence);
    sums
}

fn at_members(sights: &[TraceEntry]) -> Vec<RoleTotals> {
    let mut members: HashMap<&str, (Role, f64)> = HashMap::new();
    let mut now: HashMap<&str, Now> = HashMap::new();
    let mut roles: BTreeMap<&str, RoleTotals> = BTreeMap::new();
    for sight in sights {
        match &sight.event {
            TraceEvent::HostDeclared {
                host, role, weight, ..
            } => _ = members.insert(host, (*role, *weight)),
            TraceEvent::HostStarted {
                host, cold: true, ..
            } => {
                let fresh = Now {
                    started: Some(sight.at),
                    ..Now::default()
                };
                now.insert(host, fresh);
            }
            TraceEvent::AttemptArrived {
                host,
                dispatcher: Some(by),
                ..
            } => {
                let Some((role, weight)) = members.get(host.as_str()).copied() else {
                    continue;
                };
                let at = now.entry(host).or_default();
                *at.by.entry(*by).or_default() += 1;
                if sight.at >= at.second.0 + 1_000_000 {
                    at.second = (sight.at, HashMap::new());
                }
                *at.second.1.entry(*by).or_default() += 1;
                let of = roles.entry(role.name()).or_default();
                raise(&mut of.under_way, host, weight, sight.at, &at.by);
                raise(&mut of.attempts, host, weight, sight.at, &at.second.1);
                if at
                    .started
                    .is_some_and(|started| sight.at < started + 1_000_000)
                {
                    raise(&mut of.returned, host, weight, sight.at, &at.second.1);
                }
            }
            TraceEvent::AttemptEnded {
                host,
                dispatcher: Some(by),
                ..
            } => {
                if let Some(at) = now.get_mut(host.as_str()) {
                    if let Some(n) = at.by.get_mut(by) {
                        *n = n.saturating_sub(1);
                    }
                }
            }
            _ => {}
        }
    }
    roles
        .into_iter()
        .map(|(role, at)| RoleTotals {
            role: role.into(),
            ..at
        })
        .collect()
}

fn second_attempts(e: &Evidence, sums: &mut FleetTotals) {
    let mut spans: BTreeMap<Micros, (u64, u64)> = BTreeMap::new();
    for t in &e.tries {
        for (n, attempt) in t.attempts.iter().enumerate() {
            let span = spans.entry(attempt.from / SPAN).or_default();
            if n == 0 {
                span.0 += 1;
            } else {
                span.1 += 1;
            }
        }
    }
    let share = |(first, more): (u64, u64)| more as f64 / (first.max(1)) as f64;
    sums.second_attempts = share(spans.values().fold((0, 0), |a, s| (a.0 + s.0, a.1 + s.1)));
    let worst = spans
        .iter()
        .filter(|(_, s)| s.0 >= FEW)
        .map(|(at, s)| (share(*s), *at));
    if let Some((most, at)) = worst.max_by(|a, b| a.0.total_cmp(&b.0)) {
        (sums.second_attempts_worst, sums.second_attempts_at_s) = (most, (at * SPAN) as f64 / 1e6);
    }
}

fn left(e: &Evidence) -> Left {
    let mut left = Left::default();
    for t in &e.tries {
        let Some((at, _)) = t
            .ends
            .iter()
            .find(|(_, end)| *end == ClientOutcome::Cancelled)
        else {
            continue;
        };
        left.clients += 1;
        left.unsent += t.attempts.iter().all(|a| a.from > *at) as u64;
        // What was sent before and held up on a way that was cut off came late by nobody's doing.
        let parted = |a: &&super::Attempt| e.was_parted(a.by, &a.host, *at, a.from);
        for late in t.attempts.iter().filter(|a| a.from > *at && !parted(a)) {
            left.attempts += 1;
            left.longest_ms = left.longest_ms.max((late.from - at) as f64 / 1e3);
        }
    }
    left
}

fn fairness(e: &Evidence, sums: &mut FleetTotals) {
    let mut shares: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for t in &e.tries {
        let Some((_, end)) = t
            .ends
            .first()
            .filter(|(_, end)| *end != ClientOutcome::Cancelled)
        else {
            continue;
        };
        let own = shares.entry(t.dispatcher).or_default();
        own.0 += matches!(
            end,
            ClientOutcome::Served {
                version: Some(_),
                ..
            }
        ) as u8 as f64;
        own.1 += 1.0;
    }
    let shares: Vec<(usize, f64)> = shares
        .into_iter()
        .map(|(d, (got, all))| (d, got / all))
        .collect();
    let (sum, squares) = shares
        .iter()
        .fold((0.0, 0.0), |a, (_, x)| (a.0 + x, a.1 + x * x));
    let count = shares.len().max(1) as f64;
    sums.fairness = if squares > 0.0 {
        sum * sum / (count * squares)
    } else {
        1.0
    };
    sums.mean_served = sum / count;
    if let Some((dispatcher, least)) = shares.iter().min_by(|a, b| a.1.total_cmp(&b.1)) {
        (sums.least_dispatcher, sums.least_served) = (*dispatcher, *least);
    }
}

fn ratio(seconds: &[(f64, f64)]) -> f64 {
    let (asked, got) = seconds
        .iter()
        .fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
    if asked > 0.0 {
        got / asked
    } else {
        1.0
    }
}

fn sites(scenario: &Scenario, service: &Service) -> Vec<SiteService> {
    let strikes: Vec<(usize, usize)> = scenario
        .faults
        .iter()
        .filter(|t| t.kind.affects_site())
        .map(|t| {
            (
                (t.at / 1_000_000) as usize,
                ((t.at + t.duration) / 1_000_000) as usize,
            )
        })
        .collect();
    let Some(from) = strikes.iter().map(|s| s.0).min() else {
        return Vec::new();
    };
    let until = strikes.iter().map(|s| s.1).max().unwrap_or(from);
    let (struck, names) = (scenario.affected_sites(), scenario.zones());
    let warm = (scenario.workload.warm_up / 1_000_000) as usize;
    let of = |(n, seconds): (usize, &Vec<(f64, f64)>)| {
        let (from, until) = (from.min(seconds.len()), until.min(seconds.len()));
        let before = ratio(&seconds[warm.min(from)..from]);
        let worst = seconds[from..]
            .windows(STRETCH)
            .map(ratio)
            .fold(1.0, f64::min);
        let back = seconds[until..]
            .windows(STRETCH)
            .position(|w| ratio(w) >= BACK * before);
        SiteService {
            name: names[n].clone(),
            struck: struck.contains(&n),
            service: ratio(&seconds[warm.min(seconds.len())..]),
            before,
            since: ratio(&seconds[from..]),
            worst,
            back_after_s: back.map(|s| s as f64),
        }
    };
    service.by_branch.iter().enumerate().map(of).collect()
}

/// The day's bounds, each as a line of its own; `twin`: the same day without what strikes a site.
pub fn judge(scenario: &Scenario, sums: &FleetTotals, twin: Option<&FleetTotals>) -> RuleVerdict {
    let mut rule = RuleVerdict::new(
        "sums",
        "what all dispatchers do together stays within the day's bounds",
    );
    let bounds = scenario.limits.fleet;
    let over =
        |rule: &mut RuleVerdict, kind: &str, bound: f64, most: f64, at_s: f64, detail: String| {
            if bound > 0.0 {
                rule.cases += 1;
                if most > bound {
                    let detail = format!("{detail}, {bound:.2} at most");
                    rule.breach(kind, (at_s * 1e6) as Micros, None, detail);
                }
            }
        };
    for of in sums.roles.iter().filter(|of| of.role == Role::Cache.name()) {
        let peak = &of.under_way;
        let detail = format!(
            "{} had {} under way from {} dispatchers, {:.2} for a unit of its weight",
            peak.host, peak.count, peak.dispatchers, peak.by_weight
        );
        over(
            &mut rule,
            "under_way",
            bounds.in_flight,
            peak.by_weight,
            peak.at_s,
            detail,
        );
    }
    if sums.left.clients > 0 {
        rule.cases += 1;
        let (longest, bound) = (
            sums.left.longest_ms,
            (GONE + scenario.limits.rules.timing_tolerance) as f64 / 1e3,
        );
        if longest > bound {
            let detail = format!(
                "an attempt reached a member {longest:.0} ms after its client had left, {bound:.0} at most"
            );
            rule.breach("left", 0, None, detail);
        }
    }
    let (most, at_s) = (sums.second_attempts_worst, sums.second_attempts_at_s);
    let detail = format!("{most:.2} attempts beyond the first for each first one in 2 s");
    over(
        &mut rule,
        "second_attempts",
        bounds.retries,
        most,
        at_s,
        detail,
    );
    let mut under = |kind: &str, bound: f64, least: f64, detail: String| {
        if bound > 0.0 {
            rule.cases += 1;
            if least < bound {
                rule.breach(kind, 0, None, format!("{detail}, {bound:.3} at least"));
            }
        }
    };
    let detail = format!(
        "Jain's index {:.3}; dispatcher {} served {:.3} of its tries, the mean {:.3}",
        sums.fairness, sums.least_dispatcher, sums.least_served, sums.mean_served
    );
    under("fairness", bounds.fairness, sums.fairness, detail);
    for (site, quiet) in sums.sites.iter().zip(twin.map_or(&[][..], |t| &t.sites)) {
        if !site.struck {
            let share = site.since / quiet.since.max(1e-9);
            let detail = format!(
                "{} was not struck and served {:.3}, {share:.3} of the same day without the loss",
                site.name, site.since
            );
            under("others", bounds.unaffected_service, share, detail);
        }
    }
    rule
}
