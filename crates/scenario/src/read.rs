//! Reads a scenario's file; every complaint has line, key and reason.
use super::script::{FaultKind, FaultSpec, FaultTarget, PartitionDirections, SiteLossExtent};
use super::*;
use pointspindle_config::Reader;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A shorter period would be noise.
const MIN_WAVE_PERIOD: Micros = 100_000;

struct Draws {
    reader: Reader,
    seed: u64,
}

impl Draws {
    /// A number within bounds, or a range of them from which one is drawn.
    fn num(&mut self, section: &str, key: &str, default: f64, least: f64, most: f64) -> f64 {
        let text = self.reader.text(section, key);
        let Some((a, b)) = text.as_deref().and_then(|t| t.split_once("..")) else {
            return self.reader.number(section, key, default, least, most);
        };
        let (Ok(a), Ok(b)) = (a.trim().parse::<f64>(), b.trim().parse::<f64>()) else {
            self.reader
                .report(section, key, "not a range of two numbers, such as 2..5");
            return default;
        };
        if !(a <= b && a >= least && b <= most) {
            self.reader.report(
                section,
                key,
                &format!("not a range within {least} to {most}"),
            );
            return default;
        }
        let mut rng =
            rand::rngs::StdRng::seed_from_u64(derive_seed(self.seed, &format!("{section}.{key}")));
        a + (b - a) * rng.gen::<f64>()
    }

    fn ms(&mut self, section: &str, key: &str, default: f64) -> Micros {
        (self.num(section, key, default, 0.0, 3.6e6) * 1e3).round() as Micros
    }

    fn s(&mut self, section: &str, key: &str, default: f64) -> Micros {
        (self.num(section, key, default, 0.0, 86_400.0) * 1e6).round() as Micros
    }

    fn count(&mut self, section: &str, key: &str, default: usize, least: usize) -> usize {
        self.num(section, key, default as f64, least as f64, 1e6)
            .floor() as usize
    }

    fn share(&mut self, section: &str, key: &str, default: f64) -> f64 {
        self.num(section, key, default, 0.0, 1.0)
    }
}

pub fn read(
    name: &str,
    text: &str,
    seed: Option<u64>,
    sets: &[SettingOverride],
) -> Result<Scenario, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    for set in sets {
        reader.set(&set.section, &set.key, &set.value);
    }
    let told = reader.number("day", "seed", 1, 0, u64::MAX);
    let seed = seed.unwrap_or(told);
    let mut d = Draws { reader, seed };
    let description = d.reader.text("day", "about").unwrap_or_default();
    if description.is_empty() {
        d.reader
            .report("day", "about", "missing: one line on what is rehearsed");
    }
    let scenario = Scenario {
        name: scenario_name(name),
        description,
        duration_s: d.num("day", "seconds", 45.0, 2.0, 3_600.0),
        seed,
        fleet: fleet(&mut d),
        network: network(&mut d),
        dispatchers: dispatcher_options(&mut d),
        workload: workload(&mut d),
        clients: clients(&mut d),
        limits: limits(&mut d),
        faults: Vec::new(),
    };
    let faults = faults(&mut d, &scenario);
    d.reader.finish()?;
    Ok(Scenario { faults, ..scenario })
}

/// The file's name without folder and ending.
fn scenario_name(file: &str) -> String {
    Path::new(file)
        .file_stem()
        .map_or(file.to_owned(), |stem| stem.to_string_lossy().into_owned())
}

fn fleet(d: &mut Draws) -> Fleet {
    Fleet {
        branches: d.count("fleet", "branches", 3, 1),
        hubs: d.count("fleet", "hubs", 2, 1),
        caches_per_branch: d.count("fleet", "caches", 3, 1),
        dispatchers_per_branch: d.count("fleet", "dispatchers", 1, 1),
        parents: d.count("fleet", "parents", 2, 0),
        cache: kind(d, "cache", Role::Cache, 8.0),
        parent: kind(d, "parent", Role::Parent, 24.0),
        origin: kind(d, "origin", Role::Origin, 32.0),
    }
}

fn network(d: &mut Draws) -> NetworkSettings {
    NetworkSettings {
        bytes_per_s: d.num("fleet", "flow_kb_per_s", 1_000.0, 1.0, 1e9) * 1024.0,
        fill_speedup: d.num("fleet", "fill_pace", 3.0, 0.1, 100.0),
        branch_link: d.num("fleet", "link", 12.0, 0.0, 1e9),
        local_latency: d.ms("fleet", "near_ms", 0.2),
        hub_latency: d.ms("fleet", "to_hub_ms", 6.0),
        hub_step_latency: d.ms("fleet", "hub_step_ms", 25.0),
        simulated: NetworkConditions {
            latency: Duration::from_micros(d.ms("network", "latency_ms", 0.2)),
            jitter: Duration::from_micros(d.ms("network", "jitter_ms", 0.1)),
            loss: d.share("network", "loss", 0.0),
            resend: Duration::from_micros(d.ms("network", "resend_ms", 200.0)),
        },
    }
}

fn dispatcher_options(d: &mut Draws) -> DispatcherOptions {
    DispatcherOptions {
        bypasses_caches: d.reader.flag("fleet", "straight", true),
        coalesces_fills: d.reader.flag("fleet", "joins", true),
        uses_hello: d.reader.flag("fleet", "hello", false),
        siblings: word(d, "siblings", "zone", &["none", "zone", "any"]),
        cache_status_notes: word(d, "notes", "all", &["all", "hit", "none"]),
        knows_sizes: d.reader.flag("fleet", "sizes_told", true),
        max_attempts: d.count("fleet", "max_attempts", 6, 1) as u32,
        idempotency_window: d.ms("fleet", "key_window_ms", 2_000.0),
        believes_alone: false,
    }
}

fn workload(d: &mut Draws) -> Workload {
    Workload {
        calls_per_s: d.num("day", "rate", 90.0, 0.1, 1e6),
        warm_up: d.s("day", "warm_s", 3.0),
        wave_depth: d.num("day", "wave_depth", 0.0, 0.0, 1.0),
        wave_period: d.s("day", "wave_s", 20.0).max(MIN_WAVE_PERIOD),
        purges_per_s: d.num("day", "purges_per_s", 0.0, 0.0, 1_000.0),
        groups: d.count("fleet", "groups", 12, 1) as u64,
        classes: classes(d),
    }
}

fn clients(d: &mut Draws) -> ClientSettings {
    ClientSettings {
        retries: d.count("clients", "retries", 2, 0) as u32,
        backoff: d.ms("clients", "back_off_ms", 100.0),
        http_share: d.share("clients", "http", 0.3),
        cancel_share: d.share("clients", "hang_up", 0.01),
        retry_after_share: d.share("clients", "honour", 0.8),
        fails_over: d.reader.flag("clients", "move", false),
    }
}

fn limits(d: &mut Draws) -> Limits {
    Limits {
        rules: rules(d),
        objective: ObjectiveWeights {
            whole: d.num("goal", "whole", 0.6, 0.0, 1e3),
            worst_10s: d.num("goal", "worst_10s", 0.2, 0.0, 1e3),
            worst_class: d.num("goal", "worst_class", 0.2, 0.0, 1e3),
        },
        fleet: FleetLimits {
            in_flight: d.num("sums", "under_way", 0.0, 0.0, 1e6),
            retries: d.num("sums", "second_attempts", 0.0, 0.0, 1e3),
            fairness: d.share("sums", "fairness", 0.0),
            unaffected_service: d.share("sums", "others", 0.0),
        },
    }
}

fn word(d: &mut Draws, key: &str, default: &str, words: &[&str]) -> String {
    let pairs: Vec<(&str, &str)> = words.iter().map(|w| (*w, *w)).collect();
    let default = words
        .iter()
        .find(|w| **w == default)
        .copied()
        .unwrap_or_default();
    d.reader.choice("fleet", key, default, &pairs).to_owned()
}

fn rules(d: &mut Draws) -> RuleLimits {
    let mut span = |key: &str, least: f64, most: f64| {
        let a = d.num("rules", &format!("{key}_least_ms"), least, 0.0, 6e5);
        let b = d.num("rules", &format!("{key}_most_ms"), most, 0.0, 6e5);
        if b < a {
            d.reader
                .report("rules", &format!("{key}_most_ms"), "less than the least");
        }
        ((a * 1e3) as Micros, (b.max(a) * 1e3) as Micros)
    };
    let (purge_told, list_told) = (
        span("purge_told", 64.0, 340.0),
        span("list_told", 300.0, 1_200.0),
    );
    RuleLimits {
        drain_grace: d.ms("rules", "drain_grace_ms", 1_000.0),
        purge_grace: d.ms("rules", "purge_grace_ms", 500.0),
        purge_deadline: d.ms("rules", "purge_done_ms", 6_000.0),
        purge_delay: purge_told,
        endpoint_update_delay: list_told,
        timing_tolerance: d.ms("rules", "slack_ms", 150.0),
    }
}

fn kind(d: &mut Draws, section: &str, role: Role, weight: f64) -> HostKind {
    let cold_section = format!("cold {section}");
    let cold = if role == Role::Origin {
        WarmUpSpec {
            initial_share: 1.0,
            duration: 0,
            overload_factor: 1e9,
            overload_window: 1_000_000,
        }
    } else {
        WarmUpSpec {
            initial_share: d.share(&cold_section, "start_share", 0.2),
            duration: d.ms(&cold_section, "warm_within_ms", 15_000.0),
            overload_factor: d.num(&cold_section, "multiple", 2.0, 0.1, 1e6),
            overload_window: d.ms(&cold_section, "window_ms", 2_000.0).max(1_000),
        }
    };
    let spec = HostSpec {
        address: String::new(),
        role,
        zone: 0,
        weight: d.num(section, "weight", weight, 0.01, 1e6),
        concurrency: d.count(section, "places", 64, 1),
        queue: d.count(section, "queue", 128, 0),
        crowding_loss: d.num(section, "thrash", 0.02, 0.0, 10.0),
        store_bytes: (d.num(section, "store_mb", 24.0, 0.0, 1e7) * 1024.0 * 1024.0) as u64,
        fill_concurrency: d.count(section, "fill_places", 32, 1),
        fill_timeout: d.ms(section, "fill_timeout_ms", 2_000.0),
        fill_retries: d.count(section, "fill_retries", 1, 0) as u32,
        abort_fill: d.reader.flag(section, "abort_fill", false),
        coalesces_fills: role == Role::Parent && d.reader.flag(section, "joins", true),
        warm_up: cold,
        service_time: if role == Role::Origin {
            d.ms(section, "think_ms", 30.0)
        } else {
            0
        },
        load_report_interval: d.ms(section, "report_ms", 400.0),
        pause_interval: d.ms(section, "pause_every_ms", 0.0),
        pause: d.ms(section, "pause_ms", 0.0),
        overload_multiple: if role == Role::Origin {
            d.num(section, "fall_multiple", 0.0, 0.0, 1e6)
        } else {
            0.0
        },
        overload_window: if role == Role::Origin {
            d.ms(section, "fall_window_ms", 3_000.0)
        } else {
            1
        },
        overload_downtime: if role == Role::Origin {
            d.ms(section, "fall_down_ms", 5_000.0)
        } else {
            0
        },
    };
    HostKind {
        spec,
        weight_spread: d.share(section, "spread", 0.0),
    }
}

fn classes(d: &mut Draws) -> Vec<RequestClass> {
    let mut classes = Vec::new();
    for name in d.reader.named("class") {
        let s = format!("class {name}");
        let effects = [
            ("safe", Idempotency::Idempotent),
            ("keyed", Idempotency::Keyed),
            ("unsafe", Idempotency::NotIdempotent),
        ];
        let effect = d
            .reader
            .choice(&s, "effect", Idempotency::Idempotent, &effects);
        let class = RequestClass {
            share: d.share(&s, "share", 0.5),
            mean_bytes: d.num(&s, "mean_kb", 100.0, 0.1, 1e7) * 1024.0,
            size_scale: 1.0,
            sigma: d.num(&s, "sigma", 0.8, 0.0, 3.0),
            objects: d.count(&s, "objects", 400, 1) as u64,
            parts: d.count(&s, "parts", 1, 1) as u64,
            part_interval: d.ms(&s, "part_every_ms", 0.0),
            zipf: d.num(&s, "zipf", 1.0, 0.01, 5.0),
            once_share: d.share(&s, "once", 0.02),
            local_share: d.share(&s, "local", 0.1),
            latency_objective: d.ms(&s, "aim_ms", 300.0),
            latency_objective_stretch: d.num(&s, "aim_stretch", 2.0, 0.0, 100.0),
            deadline: d.ms(&s, "deadline_ms", 2_500.0).max(50_000),
            priority_weight: d.num(&s, "worth", 1.0, 0.0, 1e6),
            late_value: d.share(&s, "late_worth", 0.15),
            stale_value: d.share(&s, "old_worth", 0.7),
            idempotency: effect,
            uncacheable: effect != Idempotency::Idempotent,
            freshness_lifetime: d.ms(&s, "fresh_ms", 0.0),
            stale_if_error: d.ms(&s, "grace_ms", 0.0),
            name,
        };
        classes.push(class);
    }
    if classes.is_empty() {
        d.reader
            .report("class NAME", "", "no class: nobody asks for anything");
    }
    classes
}

fn faults(d: &mut Draws, scenario: &Scenario) -> Vec<FaultSpec> {
    let mut troubles = Vec::new();
    for name in d.reader.named("trouble") {
        let s = format!("trouble {name}");
        let Some(kind) = d
            .reader
            .text(&s, "kind")
            .and_then(|k| FaultKind::from_name(&k))
        else {
            let words: Vec<&str> = FaultKind::WORDS.iter().map(|(w, _)| *w).collect();
            d.reader.report(
                &s,
                "kind",
                &format!("missing or none of {}", words.join(", ")),
            );
            continue;
        };
        let zone = d.reader.text(&s, "zone").filter(|z| !z.is_empty());
        let zones = scenario.zones();
        let zone = zone.and_then(|z| {
            let found = zones.iter().position(|known| *known == z);
            if found.is_none() {
                d.reader.report(
                    &s,
                    "zone",
                    &format!("{z:?} is none of {}", zones.join(", ")),
                );
            }
            found
        });
        let role = d
            .reader
            .choice(&s, "role", kind.default_role(), &Role::WORDS);
        let number = d
            .reader
            .text(&s, "number")
            .and_then(|t| match t.parse::<usize>() {
                Ok(n) => Some(n),
                Err(_) => {
                    d.reader.report(&s, "number", "not a whole number");
                    None
                }
            });
        let whom = FaultTarget {
            share: d.share(&s, "share", 0.3),
            zone,
            role,
            index: number,
        };
        let takes = d
            .reader
            .choice(&s, "takes", SiteLossExtent::Hosts, &SiteLossExtent::WORDS);
        let ways = d.reader.choice(
            &s,
            "ways",
            PartitionDirections::WORDS[0].1,
            &PartitionDirections::WORDS,
        );
        let told = d.reader.flag(&s, "told", true);
        if kind.affects_site() && kind.requires_processes() && zone.is_none() {
            d.reader.report(&s, "zone", "missing: which site is struck");
        }
        let at = d.s(&s, "at_s", 5.0);
        if at >= scenario.duration() {
            d.reader.report(&s, "at_s", "after the end of the day");
        }
        troubles.push(FaultSpec {
            at,
            duration: d.s(&s, "for_s", 8.0),
            downtime: d.s(&s, "down_s", 2.0),
            severity: d.num(&s, "hard", kind.default_severity(), 0.0, 1e6),
            target: whom,
            extent: takes,
            announced: told,
            directions: ways,
            kind,
            name,
        });
    }
    troubles
}
