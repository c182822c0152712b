//! `pointspindle lab fleet`: several sites and dispatchers on one day, and what they come to together.
use crate::lab::{json, plant, print, print_rule, rule, virtually, DayArguments};
use crate::Failure;
use pointspindle_audit::sums::{self, FleetTotals, Peak, RoleTotals, SiteService};
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::day::{self, Outcome};
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub struct FleetArguments {
    #[command(flatten)]
    day: DayArguments,
    /// In virtual time: for hundreds of dispatchers, or many seeds.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Break something around unchanged dispatchers: `alone` tells each that it is the only one.
    #[arg(long, value_parser = plant)]
    plant: Option<InjectedFault>,
    /// Leave out the second play, without what strikes a site: nothing is said of the other sites then.
    #[arg(long)]
    no_twin: bool,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Where settings, states and logs of the dispatchers go; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
}

pub async fn fleet(arguments: FleetArguments) -> Result<(), Failure> {
    let day = arguments.day.load()?;
    let (folder, temporary) = match arguments.folder.clone() {
        Some(folder) => (folder, false),
        None => (
            std::env::temp_dir().join(format!("pointspindle-fleet-{}", std::process::id())),
            true,
        ),
    };
    if !arguments.json {
        let count = day.dispatcher_count();
        println!(
            "{}: {}; seed {}, {count} dispatchers at {} sites",
            day.name, day.description, day.seed, day.fleet.branches
        );
    }
    let played = both(&day, &arguments, &folder).await;
    if temporary {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (outcome, twin) = played?;
    // Of the other play, the same seconds of the same sites.
    let of = |o: &Outcome| sums::measure_totals(&day, &o.service, &o.trace);
    let (mine, quiet) = (of(&outcome), twin.as_ref().map(of));
    let judged = sums::judge(&day, &mine, quiet.as_ref());
    if arguments.json {
        let mut told = json(&day, &outcome);
        told["dispatchers"] = day.dispatcher_count().into();
        told["sums"] =
            serde_json::to_value(&mine).map_err(|e| Failure::CannotRun(e.to_string()))?;
        told["without_loss"] =
            serde_json::to_value(&quiet).map_err(|e| Failure::CannotRun(e.to_string()))?;
        if let Some(rules) = told["rules"].as_array_mut() {
            rules.push(rule(&judged));
        }
        println!("{told}");
    } else {
        print(&outcome);
        print_rule(&judged);
        print_sums(&mine, quiet.as_ref());
    }
    let broken = outcome
        .rules
        .iter()
        .chain([&judged])
        .any(|r| !r.violations.is_empty());
    if broken {
        return Err(Failure::No);
    }
    Ok(())
}

/// The day, and the same day without what strikes a site as a whole, where something does.
async fn both(
    day: &Scenario,
    arguments: &FleetArguments,
    folder: &Path,
) -> Result<(Outcome, Option<Outcome>), Failure> {
    let outcome = play(day, arguments, &folder.join("day")).await?;
    if arguments.no_twin || day.affected_sites().is_empty() {
        return Ok((outcome, None));
    }
    let twin = play(&day.without_site_faults(), arguments, &folder.join("twin")).await?;
    Ok((outcome, Some(twin)))
}

async fn play(
    day: &Scenario,
    arguments: &FleetArguments,
    folder: &Path,
) -> Result<Outcome, Failure> {
    if !arguments.virtual_time {
        let program = std::env::current_exe()?;
        return Ok(day::run(day, &program, folder, arguments.plant).await?);
    }
    Ok(virtually(day, arguments.plant)?.0)
}

fn print_sums(mine: &FleetTotals, quiet: Option<&FleetTotals>) {
    let peak = |p: &Peak, unit: &str| {
        format!(
            "{} {unit} at {} from {} dispatchers at {:.1} s",
            p.count, p.host, p.dispatchers, p.at_s
        )
    };
    for RoleTotals {
        role,
        under_way,
        attempts,
        returned,
    } in &mine.roles
    {
        println!(
            "  at a {role}: most {}; {}",
            peak(under_way, "under way"),
            peak(attempts, "a second")
        );
        if returned.count > 0 {
            println!(
                "    in the first second of one that came back: {}",
                peak(returned, "attempts")
            );
        }
    }
    for (cold, what) in [
        (&mine.cold, "known of"),
        (&mine.cold_unknown, "not known of"),
    ] {
        if cold.most > 0.0 {
            println!(
                "  cold, {what}: {} was sent {:.1} requests of mean work in a window by {} dispatchers, {:.1} allowed, {:.1} at most, at {:.1} s",
                cold.host, cold.requests, cold.dispatchers, cold.allowed, cold.most, cold.at_s
            );
        }
    }
    let left = &mine.left;
    println!(
        "  clients that left {} ({} before anything had begun); attempts begun after it {}, longest {:.1} ms",
        left.clients, left.unsent, left.attempts, left.longest_ms
    );
    println!(
        "  second attempts {:.3} for each first one, worst 2 s {:.3} at {:.0} s; fairness {:.3}, least dispatcher {} served {:.3} (mean {:.3})",
        mine.second_attempts,
        mine.second_attempts_worst,
        mine.second_attempts_at_s,
        mine.fairness,
        mine.least_dispatcher,
        mine.least_served,
        mine.mean_served
    );
    for (n, site) in mine.sites.iter().enumerate() {
        let SiteService {
            name,
            struck,
            before,
            since,
            worst,
            back_after_s,
            ..
        } = site;
        let back = back_after_s.map_or("not back".into(), |s| format!("back after {s:.0} s"));
        let beside = quiet
            .and_then(|q| q.sites.get(n))
            .map(|q| format!(" ({:.3} without the loss)", q.since));
        println!(
            "  {name}{}: served {before:.3} before, {since:.3} since{}, worst 3 s {worst:.3}, {back}",
            if *struck { " (struck)" } else { "" },
            beside.unwrap_or_default()
        );
    }
}
