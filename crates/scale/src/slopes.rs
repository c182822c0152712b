//! Each figure over the sizes as a line `a + b N`; where the line bends upwards, as `a + b N + c N^2`, and that is said. One that bends
//! downwards stays a line: beyond the sizes measured a falling curve would promise what nobody has seen.
use super::steps::{Phase, Step};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A curve is kept where it leaves less than this share of the line's residual: else it only follows noise.
const BENDS: f64 = 0.25;
/// ... and where the curved part is at least this share of the figure at the largest size.
const MATTERS: f64 = 0.1;
/// Runs that differ by more than this share at a size do not give a slope.
pub const AGREE: f64 = 0.35;

/// ... and a fit that is further off than this share of the largest value says nothing of other sizes.
pub const STRAIGHT: f64 = 0.25;

/// A figure over N, and where it was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    pub unit: String,
    pub a: f64,
    pub b: f64,
    /// 0: the line does not bend.
    #[serde(default)]
    pub c: f64,
    /// Largest distance of a measured value from the fit, as a share of the largest value.
    pub residual: f64,
    /// Smallest and largest size measured.
    pub from: usize,
    pub to: usize,
    /// Largest value measured, in any run at any size.
    #[serde(default)]
    pub most: f64,
    /// How far runs are apart, at most: as a share. None: one run only.
    #[serde(default)]
    pub spread: Option<f64>,
}

impl Slope {
    pub fn at(&self, n: f64) -> f64 {
        self.a + self.b * n + self.c * n * n
    }

    /// Whether runs agreed, and on something like a line.
    pub fn is_used(&self) -> bool {
        self.spread.is_none_or(|s| s <= AGREE) && self.residual <= STRAIGHT
    }
}

/// What a run came to, kept beside the page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    pub commit: String,
    pub date: String,
    pub machine: String,
    pub seconds: f64,
    pub steps: Vec<usize>,
    pub runs: usize,
    pub figures: BTreeMap<String, Slope>,
    /// What was counted and is no slope: words that never came, over all sizes.
    pub counts: BTreeMap<String, f64>,
}

/// A figure at several sizes.
pub type Points = Vec<(f64, f64)>;

pub fn fit(unit: &str, points: &Points) -> Option<Slope> {
    let (x, y): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
    let of = |degree: usize| {
        if x.len() <= degree {
            return None;
        }
        let mut c = polyfit_rs::polyfit_rs::polyfit(&x, &y, degree).ok()?;
        c.resize(3, 0.0);
        let far = points
            .iter()
            .map(|(x, y)| (y - c[0] - c[1] * x - c[2] * x * x).abs());
        let far = far.fold(0.0, f64::max);
        Some((c, far))
    };
    let largest = y.iter().fold(0.0f64, |a, b| a.max(b.abs())).max(1e-12);
    let (mut best, mut far) = match points.len() {
        0 => return None,
        1 => (vec![y[0], 0.0, 0.0], 0.0),
        _ => of(1)?,
    };
    let to = x.iter().fold(0.0f64, |a, b| a.max(*b));
    // Four sizes at least: through three a curve always goes.
    if let Some((curve, left)) = of(2).filter(|_| points.len() > 3) {
        if left < BENDS * far && curve[2] * to * to > MATTERS * largest {
            (best, far) = (curve, left);
        }
    }
    let from = x.iter().fold(f64::INFINITY, |a, b| a.min(*b));
    let (a, b, c) = (best[0], best[1], best[2]);
    Some(Slope {
        unit: unit.to_owned(),
        a,
        b,
        c,
        residual: far / largest,
        from: from as usize,
        to: to as usize,
        most: y.iter().fold(f64::NEG_INFINITY, |a, b| a.max(*b)),
        spread: None,
    })
}

/// All figures of a step, by name: `phase/what`, with the unit.
pub fn figures(step: &Step) -> BTreeMap<String, (&'static str, f64)> {
    let mut all = BTreeMap::new();
    let n = step.dispatchers as f64;
    for phase in &step.phases {
        let mut put = |what: &str, unit: &'static str, value: f64| {
            all.insert(format!("{}/{what}", phase.name), (unit, value));
        };
        of_phase(phase, n, &mut put);
    }
    let ready = [
        ("start", &step.ready_ms),
        ("restart", &step.restart_ready_ms),
    ];
    for (name, [p50, p90, longest]) in ready {
        for (what, value) in [("p50", p50), ("p90", p90), ("longest", longest)] {
            all.insert(format!("{name}/ready {what}"), ("ms", *value));
        }
    }
    all
}

fn of_phase(phase: &Phase, n: f64, put: &mut impl FnMut(&str, &'static str, f64)) {
    let s = phase.seconds;
    put("store cores", "cores", phase.store.cores);
    put("store memory", "MB", phase.store.memory_mb);
    put("store connections", "", phase.store.descriptors as f64);
    put(
        "store bytes out",
        "KB/s",
        phase.traffic.bytes_out as f64 / s / 1024.0,
    );
    put(
        "store bytes in",
        "KB/s",
        phase.traffic.bytes_in as f64 / s / 1024.0,
    );
    put("dispatcher cores", "cores", phase.dispatchers.cores / n);
    put("dispatcher memory", "MB", phase.dispatchers.memory_mb / n);
    put(
        "dispatcher bytes in",
        "KB/s",
        phase.traffic.bytes_out as f64 / s / n / 1024.0,
    );
    put(
        "dispatcher bytes out",
        "KB/s",
        phase.traffic.bytes_in as f64 / s / n / 1024.0,
    );
    put(
        "dispatcher bytes of the phase",
        "KB",
        phase.traffic.bytes_out as f64 / n / 1024.0,
    );
    put(
        "dispatcher connections to hosts",
        "",
        phase.items.connections as f64,
    );
    put("host cores", "cores", phase.hosts.cores);
    put("host memory", "MB", phase.hosts.memory_mb);
    for (kind, count) in &phase.traffic.kinds {
        put(
            &format!("{kind} messages"),
            "1/s",
            (count.messages_in + count.messages_out) as f64 / s,
        );
        put(
            &format!("{kind} bytes"),
            "KB/s",
            (count.bytes_in + count.bytes_out) as f64 / s / 1024.0,
        );
    }
    for (what, lag) in [("purge", &phase.purges), ("change", &phase.changes)] {
        if let Some(lag) = lag {
            put(&format!("{what} in force p50"), "ms", lag.p50_ms);
            put(&format!("{what} in force p99"), "ms", lag.p99_ms);
            put(&format!("{what} in force longest"), "ms", lag.longest_ms);
        }
    }
    if let Some(ms) = phase.whole_ms {
        put("whole again", "ms", ms);
    }
}

/// Slopes of one or several runs over the same sizes.
pub fn slopes(runs: &[Vec<Step>]) -> BTreeMap<String, Slope> {
    // For each figure, at each size, its value in each run.
    let mut values: BTreeMap<String, (&'static str, BTreeMap<usize, Vec<f64>>)> = BTreeMap::new();
    for step in runs.iter().flatten() {
        for (name, (unit, value)) in figures(step) {
            let of = values
                .entry(name)
                .or_insert_with(|| (unit, BTreeMap::new()));
            of.1.entry(step.dispatchers).or_default().push(value);
        }
    }
    let mean = |v: &Vec<f64>| v.iter().sum::<f64>() / v.len() as f64;
    let fitted = values.into_iter().filter_map(|(name, (unit, by))| {
        let points: Points = by.iter().map(|(n, v)| (*n as f64, mean(v))).collect();
        let mut slope = fit(unit, &points)?;
        slope.most = by
            .values()
            .flatten()
            .fold(f64::NEG_INFINITY, |a, b| a.max(*b));
        if runs.len() > 1 {
            // Of the largest size: that is what a fleet ahead is read off.
            let apart = by.iter().next_back().map(|(_, v)| {
                let (least, most) = v
                    .iter()
                    .fold((f64::INFINITY, 0.0f64), |a, x| (a.0.min(*x), a.1.max(*x)));
                if most > 0.0 {
                    (most - least) / most
                } else {
                    0.0
                }
            });
            slope.spread = apart;
        }
        Some((name, slope))
    });
    fitted.collect()
}
