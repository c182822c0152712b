//! A day drawn by a dispatcher bench (its JSON) as a scenario of ours: the same kinds of trouble at the same
//! moments, at loopback size or at the day's own. `docs/lab.md` lists what is carried over and what is not.
use serde::Deserialize;
use std::fmt::Write;

/// How large the scenario becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Three branches at most and small bodies: for sockets in real time.
    Loopback,
    /// The day's own: for virtual time.
    Full,
}

#[derive(Debug, Deserialize)]
struct Day {
    site: String,
    kind: String,
    length: f64,
    zones: Vec<String>,
    net: Net,
    traffic: TrafficPart,
    clients: ClientsPart,
    discovery: Discovery,
    allow: Allow,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    #[serde(default)]
    goal: Option<Goal>,
    classes: Vec<ClassPart>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<Server>,
    #[serde(default)]
    troubles: Option<Vec<TroublePart>>,
    fam: Family,
}

#[derive(Debug, Deserialize)]
struct Net {
    same: f64,
}

#[derive(Debug, Deserialize)]
struct TrafficPart {
    load: f64,
}

#[derive(Debug, Deserialize)]
struct ClientsPart {
    retries: f64,
    backoff_us: f64,
    honour: f64,
}

#[derive(Debug, Deserialize)]
struct Discovery {
    notice: f64,
    add: f64,
}

#[derive(Debug, Deserialize)]
struct Allow {
    max_attempts: u32,
}

#[derive(Debug, Deserialize)]
struct ClassPart {
    name: String,
    share: f64,
    /// Mean sending time, microseconds.
    work: f64,
    aim: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    write: bool,
}

#[derive(Debug, Deserialize)]
struct Tier {
    kinds: Vec<KindPart>,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Debug, Deserialize)]
struct KindPart {
    cores: f64,
    slots: f64,
    queue: f64,
    thrash: f64,
}

#[derive(Debug, Deserialize)]
struct Server {
    zone: usize,
    #[serde(default)]
    kind: usize,
    weight: f64,
    #[serde(default = "yes")]
    up: bool,
}

fn yes() -> bool {
    true
}

#[derive(Debug, Deserialize)]
struct TroublePart {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<WaveStep>,
}

#[derive(Debug, Deserialize)]
struct WaveStep {
    stop: Vec<usize>,
}

#[derive(Debug, Deserialize)]
struct Goal {
    whole: f64,
    worst_window: f64,
    worst_class: f64,
}

#[derive(Debug, Deserialize)]
struct Family {
    abort_fill: bool,
    #[serde(default = "yes")]
    parent_joins: bool,
    direct: bool,
    far: f64,
    fill_timeout: f64,
    fills_per_core: f64,
    groups: u64,
    hubs: usize,
    joins: bool,
    kb_per_s: f64,
    link: Vec<f64>,
    near: f64,
    origin_fall: (f64, f64, f64),
    origin_kind: usize,
    origin_link: f64,
    origin_time: f64,
    pace: f64,
    parent_cold: (f64, f64),
    parent_fall: f64,
    parent_kind: i64,
    parent_store: f64,
    purge_done: f64,
    purge_grace: f64,
    purge_tell: f64,
    purges: f64,
    retries: (f64, f64),
    room: Vec<f64>,
    siblings: String,
    stock: Vec<Stock>,
    tells: String,
    tells_size: bool,
}

#[derive(Debug, Deserialize)]
struct Stock {
    fresh: f64,
    grace: f64,
    local: f64,
    objects: f64,
    once: f64,
    parts: f64,
    sigma: f64,
    stale_worth: f64,
    zipf: f64,
}

#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    #[error("not a day of the edge family: {0}")]
    NotADay(#[from] serde_json::Error),
    #[error("the day has no {0}")]
    Missing(&'static str),
}

/// A scenario's text, and what of the day's troubles could not be carried over.
pub fn import(text: &str, size: Size) -> Result<(String, Vec<String>), ImportError> {
    let day: Day = serde_json::from_str(text)?;
    let shape = Shape::of(&day, size)?;
    let mut out = String::new();
    let mut left = Vec::new();
    shape.head(&day, &mut out);
    shape.classes(&day, &mut out);
    for (n, trouble) in day.troubles.iter().flatten().enumerate() {
        if let Some(why) = shape.trouble(&day, n, trouble, &mut out) {
            left.push(why);
        }
    }
    Ok((out, left))
}

struct Shape {
    size: Size,
    caches: Vec<usize>,
    parents: Vec<usize>,
    branches: usize,
    per_branch: usize,
    dispatchers: usize,
    parent_count: usize,
    hubs: usize,
    /// KB a second of one transfer.
    flow: f64,
    cache_weight: f64,
    /// Hub zones come first in the day.
    first_branch: usize,
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), v| (sum + v, n + 1.0));
    if n > 0.0 {
        sum / n
    } else {
        0.0
    }
}

impl Shape {
    fn of(day: &Day, size: Size) -> Result<Self, ImportError> {
        let f = &day.fam;
        let is = |kind: i64| -> Vec<usize> {
            let of = |(n, s): (usize, &Server)| (s.up && s.kind as i64 == kind).then_some(n);
            day.servers.iter().enumerate().filter_map(of).collect()
        };
        let parents = is(f.parent_kind);
        let cache = |s: &Server| s.up && s.kind as i64 != f.parent_kind && s.kind != f.origin_kind;
        let caches: Vec<usize> = day
            .servers
            .iter()
            .enumerate()
            .filter(|(_, s)| cache(s))
            .map(|(n, _)| n)
            .collect();
        let mut zones: Vec<usize> = caches.iter().map(|n| day.servers[*n].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let first_branch = *zones.first().ok_or(ImportError::Missing("cache hosts"))?;
        if day.tiers.is_empty() || day.classes.is_empty() || day.balancers.is_empty() {
            return Err(ImportError::Missing("tier, class or dispatcher"));
        }
        let full = size == Size::Full;
        let branches = if full {
            zones.len()
        } else {
            zones.len().min(3)
        };
        let per_branch = (caches.len() as f64 / zones.len() as f64).round().max(1.0) as usize;
        let per_zone = (day.balancers.len() as f64 / zones.len() as f64)
            .round()
            .max(1.0) as usize;
        Ok(Self {
            size,
            branches,
            per_branch: if full { per_branch } else { per_branch.max(3) },
            dispatchers: if full { per_zone } else { 1 },
            parent_count: if full {
                parents.len()
            } else {
                parents.len().min(2)
            },
            hubs: if full {
                f.hubs.max(1)
            } else {
                f.hubs.clamp(1, 2)
            },
            // Bodies small enough for one machine; sending times stay as they are.
            flow: if full {
                f.kb_per_s
            } else {
                f.kb_per_s.min(500.0)
            },
            // At loopback size a branch has a share of its load: weights shrink with it.
            cache_weight: mean(caches.iter().map(|n| day.servers[*n].weight))
                * if full { 1.0 } else { 0.35 },
            caches,
            parents,
            first_branch,
        })
    }

    /// Seconds before the day: its members hold what was asked for lately when it begins, ours fill first.
    fn lead(&self) -> f64 {
        if self.size == Size::Full {
            30.0
        } else {
            4.0
        }
    }

    /// Full-size transfers that stand for one here.
    fn shrink(&self, day: &Day) -> f64 {
        let whole: f64 = self.caches.iter().map(|n| day.servers[*n].weight).sum();
        (self.branches * self.per_branch) as f64 * self.cache_weight / whole.max(1e-9)
    }

    fn head(&self, day: &Day, out: &mut String) {
        let f = &day.fam;
        let share: f64 = day.classes.iter().map(|c| c.share).sum();
        let work = day.classes.iter().map(|c| c.share * c.work).sum::<f64>() / share / 1e6;
        let capacity = (self.branches * self.per_branch) as f64 * self.cache_weight;
        let rate = day.traffic.load * capacity / work;
        let kind = &day.tiers[0].kinds[0];
        let branch_caches =
            self.caches.len() as f64 / (day.zones.len() - self.first_branch).max(1) as f64;
        // Kept copies are told as microseconds of sending, by location.
        let room =
            mean(f.room.iter().copied().filter(|r| *r > 0.0)) / 1e6 * f.kb_per_s / branch_caches;
        let scale = self.flow / f.kb_per_s
            * (self.cache_weight / mean(self.caches.iter().map(|n| day.servers[*n].weight)));
        let link = mean(f.link.iter().skip(self.first_branch).copied());
        let link = link * self.per_branch as f64 * self.cache_weight
            / (branch_caches * mean(self.caches.iter().map(|n| day.servers[*n].weight))).max(1e-9);
        let parent = mean(self.parents.iter().map(|n| day.servers[*n].weight));
        let parent =
            parent * self.parents.len() as f64 * self.shrink(day) / self.parent_count.max(1) as f64;
        let _ = writeln!(
            out,
            "# Imported: a {} day of {}.\n[day]\nabout = a {} day of {}, imported\nseconds = {:.1}\nrate = {:.2}\nwarm_s = {:.0}\npurges_per_s = {:.3}\n",
            day.kind, day.site, day.kind, day.site, day.length / 1e6 + self.lead(), rate, self.lead(), f.purges,
        );
        let siblings = if f.siblings == "location" {
            "zone"
        } else {
            f.siblings.as_str()
        };
        let yes = |b: bool| if b { "yes" } else { "no" };
        let window = day.classes.iter().map(|c| c.window).fold(0.0, f64::max) / 1e3;
        let _ = writeln!(
            out,
            "[fleet]\nbranches = {}\ncaches = {}\ndispatchers = {}\nparents = {}\nhubs = {}\ngroups = {}\n\
             flow_kb_per_s = {:.1}\nfill_pace = {:.2}\nlink = {:.2}\nnear_ms = {:.2}\nto_hub_ms = {:.2}\nhub_step_ms = {:.2}\n\
             key_window_ms = {window:.0}\nstraight = {}\njoins = {}\nsiblings = {siblings}\nnotes = {}\nsizes_told = {}\nmax_attempts = {}\n",
            self.branches, self.per_branch, self.dispatchers, self.parent_count, self.hubs, f.groups,
            self.flow, f.pace, link, day.net.same / 1e3, f.near / 1e3, f.far / 1e3,
            yes(f.direct), yes(f.joins), f.tells, yes(f.tells_size), day.allow.max_attempts,
        );
        let fills = (f.fills_per_core * kind.cores).max(1.0);
        let _ = writeln!(
            out,
            "[cache]\nweight = {:.2}\nplaces = {}\nqueue = {}\nthrash = {:.3}\nstore_mb = {:.2}\nfill_places = {}\n\
             fill_timeout_ms = {:.0}\nfill_retries = {}\nabort_fill = {}\n",
            self.cache_weight,
            (kind.slots * kind.cores).max(1.0) as u64,
            (kind.queue * kind.cores) as u64,
            kind.thrash / 10.0,
            room * scale / 1024.0,
            fills as u64,
            f.fill_timeout / 1e3,
            f.retries.0.min(3.0) as u64,
            yes(f.abort_fill),
        );
        let tier = &day.tiers[0];
        let _ = writeln!(
            out,
            "[cold cache]\nstart_share = {:.3}\nwarm_within_ms = {:.0}\nmultiple = {:.2}\nwindow_ms = {:.0}\n",
            tier.stated_cold_from, tier.stated_cold / 1e3, day.fall_multiple, day.fall_for / 1e3,
        );
        let _ = writeln!(
            out,
            "[parent]\nweight = {:.2}\nplaces = 4096\nqueue = 4096\nstore_mb = {:.2}\nfill_places = 1024\n\
             fill_timeout_ms = {:.0}\nfill_retries = {}\njoins = {}\n\n\
             [cold parent]\nstart_share = {:.3}\nwarm_within_ms = {:.0}\nmultiple = {:.2}\nwindow_ms = {:.0}\n",
            parent.max(0.05),
            f.parent_store / 1e6 * self.flow * self.shrink(day) / self.parents.len().max(1) as f64
                * self.parents.len() as f64 / self.parent_count.max(1) as f64 / 1024.0,
            f.fill_timeout / 1e3,
            f.retries.1.min(3.0) as u64,
            yes(f.parent_joins),
            f.parent_cold.0, f.parent_cold.1 / 1e3, f.parent_fall, day.fall_for / 1e3,
        );
        let _ = writeln!(
            out,
            "[origin]\nweight = {:.2}\nplaces = 4096\nqueue = 4096\nthink_ms = {:.1}\nfall_multiple = {:.2}\n\
             fall_window_ms = {:.0}\nfall_down_ms = {:.0}\n",
            (f.origin_link * self.shrink(day)).max(0.05),
            f.origin_time / 1e3, f.origin_fall.0, f.origin_fall.1 / 1e3, f.origin_fall.2 / 1e3,
        );
        let _ = writeln!(
            out,
            "[clients]\nretries = {}\nback_off_ms = {:.0}\nhttp = {}\nhang_up = 0\nhonour = {:.2}\n",
            day.clients.retries as u64,
            day.clients.backoff_us / 1e3,
            if self.size == Size::Full { 0.0 } else { 0.3 },
            day.clients.honour,
        );
        if let Some(g) = &day.goal {
            let _ = writeln!(
                out,
                "[goal]\nwhole = {}\nworst_10s = {}\nworst_class = {}\n",
                g.whole, g.worst_window, g.worst_class
            );
        }
        let (add, notice) = (day.discovery.add / 1e3, day.discovery.notice / 1e3);
        let _ = writeln!(
            out,
            "[rules]\ndrain_grace_ms = {:.0}\npurge_grace_ms = {:.0}\npurge_done_ms = {:.0}\n\
             purge_told_least_ms = {:.0}\npurge_told_most_ms = {:.0}\nlist_told_least_ms = {:.0}\nlist_told_most_ms = {:.0}\n",
            day.drain_grace / 1e3, f.purge_grace / 1e3, f.purge_done / 1e3, f.purge_tell / 2e3,
            f.purge_tell / 1e3, add.min(notice), add.max(notice),
        );
    }

    fn classes(&self, day: &Day, out: &mut String) {
        let total: f64 = day.classes.iter().map(|c| c.share).sum();
        // Objects that fill the same share of smaller stores.
        let fewer = self.shrink(day).clamp(0.01, 1.0);
        for (class, stock) in day.classes.iter().zip(&day.fam.stock) {
            let effect = match class.effect.as_str() {
                "keyed" => "keyed",
                "unsafe" => "unsafe",
                _ => "safe",
            };
            let _ = writeln!(
                out,
                "[class {}]\nshare = {:.4}\nmean_kb = {:.2}\nsigma = {:.3}\nobjects = {}\nparts = {}\nzipf = {:.3}\nonce = {:.4}\n\
                 local = {:.4}\naim_ms = {:.0}\naim_stretch = {:.2}\ndeadline_ms = {:.0}\nworth = {}\nlate_worth = {:.3}\n\
                 old_worth = {:.3}\nfresh_ms = {:.0}\ngrace_ms = {:.0}\neffect = {}\n",
                class.name,
                class.share / total,
                class.work / 1e6 * self.flow,
                stock.sigma,
                (stock.objects * if self.size == Size::Full { 1.0 } else { fewer.max(0.3) }).max(1.0) as u64,
                stock.parts.max(1.0) as u64,
                stock.zipf.clamp(0.01, 5.0),
                stock.once,
                stock.local,
                class.aim / 1e3,
                class.aim_stretch,
                class.deadline / 1e3,
                class.worth,
                class.late_worth,
                stock.stale_worth,
                stock.fresh / 1e3,
                stock.grace / 1e3,
                if class.write && effect == "safe" { "keyed" } else { effect },
            );
        }
    }

    /// Writes a trouble; the reason if it has no counterpart here.
    fn trouble(&self, day: &Day, n: usize, t: &TroublePart, out: &mut String) -> Option<String> {
        let on_parents = t.on.iter().any(|s| self.parents.contains(s));
        let on_origin = t.on.iter().any(|s| {
            day.servers
                .get(*s)
                .is_some_and(|s| s.kind == day.fam.origin_kind)
        });
        let of = if on_parents {
            self.parents.len()
        } else {
            self.caches.len()
        };
        let mut share = t.on.len() as f64 / of.max(1) as f64;
        let (mut hard, mut down, mut zone) = (None, None, None);
        let mut role = if on_parents { "parent" } else { "cache" };
        let mut length = t.len;
        let stopped: usize = t.steps.iter().map(|s| s.stop.len()).sum();
        let kind = match t.kind.as_str() {
            "crash" | "mass_restart" => "crash",
            "hang" => "hang",
            "fast_errors" => {
                hard = Some(t.size);
                "errors"
            }
            "answer_lost" => {
                hard = Some(t.size);
                "lose_answers"
            }
            "deploy" | "preempt" => {
                let first = t.steps.iter().flat_map(|s| &s.stop).next();
                let parents = first.is_some_and(|s| self.parents.contains(s));
                let of = if parents {
                    self.parents.len()
                } else {
                    self.caches.len()
                };
                role = if parents { "parent" } else { "cache" };
                share = stopped as f64 / of.max(1) as f64;
                hard = Some(t.extra);
                "deploy"
            }
            "ageing" => {
                (hard, down) = (Some(t.size), Some(t.extra));
                "ageing"
            }
            "zone_loss" => {
                let index = t.which.checked_sub(self.first_branch);
                zone = Some(match index {
                    Some(branch) => format!("branch-{}", branch % self.branches + 1),
                    None => format!("hub-{}", t.which % self.hubs + 1),
                });
                "zone_loss"
            }
            "balancer_roll" => {
                share = stopped as f64 / day.balancers.len() as f64;
                down = Some(t.extra);
                "kill_dispatchers"
            }
            "origin_slow" => {
                (role, share, hard) = ("origin", 1.0, Some(t.size));
                "slow"
            }
            "flush" => {
                share = t.size;
                length = 0.0;
                "purge"
            }
            "hot_key" => {
                share = t.size;
                "hot"
            }
            "heavy_tail" => {
                (share, hard) = (t.extra, Some(t.size));
                "oversized"
            }
            "scan" => {
                share = t.size;
                "one_off"
            }
            "report_late" => {
                return Some("report_late: load reports are not read by the module".into())
            }
            other => return Some(format!("{other}: no counterpart here")),
        };
        if on_origin {
            role = "origin";
        }
        let _ = writeln!(
            out,
            "[trouble {}-{n}]\nkind = {kind}\nat_s = {:.2}\nfor_s = {:.2}\nshare = {:.3}\nrole = {role}",
            t.kind,
            t.at / 1e6 + self.lead(),
            length / 1e6,
            share.clamp(0.001, 1.0)
        );
        for (key, value) in [("hard", hard), ("down_s", down)] {
            if let Some(value) = value {
                let _ = writeln!(out, "{key} = {value:.3}");
            }
        }
        if let Some(zone) = zone {
            let _ = writeln!(out, "zone = {zone}");
        }
        out.push('\n');
        None
    }
}
