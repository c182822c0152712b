//! Writes all sections of the imported scenario except those of the faults.
use super::bench_scenario::{BenchCatalogue, BenchClass, BenchScenario};
use super::layout::{mean, Layout};
use super::Size;
use crate::ini_writer::IniWriter;

/// Concurrency and queue limit of parents and the origin, requests; high enough for any load.
const UNBOUNDED_CONCURRENCY: u32 = 4096;

/// Maximum number of concurrent fills of a parent; high enough for any load.
const UNBOUNDED_FILLS: u32 = 1024;

/// Maximum number of fill retries.
const MAX_FILL_RETRIES: f64 = 3.0;

/// Minimum weight of a parent or the origin.
const MIN_WEIGHT: f64 = 0.05;

/// Share of calls that use HTTP at loopback size.
const LOOPBACK_HTTP_SHARE: f64 = 0.3;

/// Minimum share of the objects of each class that remains at loopback size.
const LOOPBACK_MIN_OBJECT_SHARE: f64 = 0.3;

const BYTES_PER_KIB: f64 = 1024.0;

/// Writes all sections except those of the faults.
pub(super) fn write_sections(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    write_run(bench, layout, ini);
    write_fleet(bench, layout, ini);
    write_cache(bench, layout, ini);
    write_parent(bench, layout, ini);
    write_origin(bench, layout, ini);
    write_clients(bench, layout, ini);
    write_objective(bench, ini);
    write_rules(bench, ini);
    write_classes(bench, layout, ini);
}

fn write_run(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let shares: f64 = bench.classes.iter().map(|class| class.share).sum();
    let weighted: f64 = bench
        .classes
        .iter()
        .map(|class| class.share * class.transfer_time)
        .sum();
    let mean_transfer_s = weighted / shares / 1e6;
    let rate = bench.traffic.load * layout.cache_capacity() / mean_transfer_s;
    let title = format!("a {} day of {}", bench.kind, bench.site);
    ini.comment(format_args!("Imported: {title}."));
    ini.section("day")
        .key("about", format_args!("{title}, imported"))
        .number("seconds", bench.duration / 1e6 + layout.warm_up_s(), 1)
        .number("rate", rate, 2)
        .number("warm_s", layout.warm_up_s(), 0)
        .number("purges_per_s", bench.family.purges.per_s, 3);
}

fn write_fleet(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let family = &bench.family;
    let siblings = match family.siblings.as_str() {
        "location" => "zone",
        other => other,
    };
    let idempotency_window = bench
        .classes
        .iter()
        .map(|class| class.idempotency_window)
        .fold(0.0, f64::max);
    ini.section("fleet")
        .key("branches", layout.branches)
        .key("caches", layout.caches_per_branch)
        .key("dispatchers", layout.dispatchers_per_branch)
        .key("parents", layout.parent_count)
        .key("hubs", layout.hubs)
        .key("groups", family.purges.groups)
        .number("flow_kb_per_s", layout.kb_per_s, 1)
        .number("fill_pace", family.fills.fill_speedup, 2)
        .number("link", branch_link(bench, layout), 2)
        .millis("near_ms", bench.network.local_latency, 2)
        .millis("to_hub_ms", family.links.hub_latency, 2)
        .millis("hub_step_ms", family.links.hub_step_latency, 2)
        .millis("key_window_ms", idempotency_window, 0)
        .flag("straight", family.bypasses_caches)
        .flag("joins", family.fills.coalesces_fills)
        .key("siblings", siblings)
        .key("notes", &family.cache_status_notes)
        .flag("sizes_told", family.knows_sizes)
        .key("max_attempts", bench.attempt_limits.max_attempts);
}

/// Returns the number of transfers that the inbound link of a branch can carry, scaled in proportion to the capacity of
/// the branch.
fn branch_link(bench: &BenchScenario, layout: &Layout) -> f64 {
    let links = &bench.family.links.link_by_zone;
    let bench_link = mean(links.iter().skip(layout.first_branch).copied());
    let bench_capacity = layout.bench_caches_per_branch(bench) * layout.bench_cache_weight;
    bench_link * layout.caches_per_branch as f64 * layout.cache_weight / bench_capacity.max(1e-9)
}

/// Returns the size of a cache host's store, KiB. The bench states the size by zone, as microseconds of transfer.
fn cache_store_kib(bench: &BenchScenario, layout: &Layout) -> f64 {
    let kb_per_s = bench.family.links.kb_per_s;
    let stores = &bench.family.store_by_zone;
    let store_time = mean(stores.iter().copied().filter(|time| *time > 0.0));
    let bench_store_kib = store_time / 1e6 * kb_per_s / layout.bench_caches_per_branch(bench);
    let scale = layout.kb_per_s / kb_per_s * (layout.cache_weight / layout.bench_cache_weight);
    bench_store_kib * scale
}

fn write_cache(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let tier = &bench.tiers[0];
    let kind = &tier.kinds[0];
    let fills = &bench.family.fills;
    ini.section("cache")
        .number("weight", layout.cache_weight, 2)
        .key("places", (kind.concurrency * kind.cores).max(1.0) as u64)
        .key("queue", (kind.queue * kind.cores) as u64)
        .number("thrash", kind.crowding_loss / 10.0, 3)
        .number(
            "store_mb",
            cache_store_kib(bench, layout) / BYTES_PER_KIB,
            2,
        )
        .key(
            "fill_places",
            (fills.fills_per_core * kind.cores).max(1.0) as u64,
        )
        .millis("fill_timeout_ms", fills.fill_timeout, 0)
        .key(
            "fill_retries",
            fills.fill_retries.cache.min(MAX_FILL_RETRIES) as u64,
        )
        .flag("abort_fill", fills.abort_fill);
    ini.section("cold cache")
        .number("start_share", tier.warm_up_initial_share, 3)
        .millis("warm_within_ms", tier.warm_up_duration, 0)
        .number("multiple", bench.overload_factor, 2)
        .millis("window_ms", bench.overload_window, 0);
}

fn write_parent(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let parents = &bench.family.parents;
    let fills = &bench.family.fills;
    let bench_count = layout.parents.len() as f64;
    let count = layout.parent_count.max(1) as f64;
    let ratio = layout.capacity_ratio(bench);
    let bench_weight = mean(
        layout
            .parents
            .iter()
            .map(|index| bench.servers[*index].weight),
    );
    let weight = bench_weight * bench_count * ratio / count;
    let store_kib =
        parents.store / 1e6 * layout.kb_per_s * ratio / bench_count.max(1.0) * bench_count / count;
    ini.section("parent")
        .number("weight", weight.max(MIN_WEIGHT), 2)
        .key("places", UNBOUNDED_CONCURRENCY)
        .key("queue", UNBOUNDED_CONCURRENCY)
        .number("store_mb", store_kib / BYTES_PER_KIB, 2)
        .key("fill_places", UNBOUNDED_FILLS)
        .millis("fill_timeout_ms", fills.fill_timeout, 0)
        .key(
            "fill_retries",
            fills.fill_retries.parent.min(MAX_FILL_RETRIES) as u64,
        )
        .flag("joins", fills.parents_coalesce_fills);
    ini.section("cold parent")
        .number("start_share", parents.warm_up.initial_share, 3)
        .millis("warm_within_ms", parents.warm_up.duration, 0)
        .number("multiple", parents.overload_factor, 2)
        .millis("window_ms", bench.overload_window, 0);
}

fn write_origin(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let origin = &bench.family.origin;
    let weight = origin.link * layout.capacity_ratio(bench);
    ini.section("origin")
        .number("weight", weight.max(MIN_WEIGHT), 2)
        .key("places", UNBOUNDED_CONCURRENCY)
        .key("queue", UNBOUNDED_CONCURRENCY)
        .millis("think_ms", origin.service_time, 1)
        .number("fall_multiple", origin.overload.multiple, 2)
        .millis("fall_window_ms", origin.overload.window, 0)
        .millis("fall_down_ms", origin.overload.downtime, 0);
}

fn write_clients(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let http_share = match layout.size {
        Size::Full => 0.0,
        Size::Loopback => LOOPBACK_HTTP_SHARE,
    };
    ini.section("clients")
        .key("retries", bench.clients.retries as u64)
        .millis("back_off_ms", bench.clients.backoff, 0)
        .key("http", http_share)
        .key("hang_up", 0)
        .number("honour", bench.clients.retry_after_share, 2);
}

fn write_objective(bench: &BenchScenario, ini: &mut IniWriter) {
    if let Some(objective) = &bench.objective {
        ini.section("goal")
            .key("whole", objective.whole)
            .key("worst_10s", objective.worst_10s)
            .key("worst_class", objective.worst_class);
    }
}

fn write_rules(bench: &BenchScenario, ini: &mut IniWriter) {
    let purges = &bench.family.purges;
    let add = bench.discovery.add;
    let notice = bench.discovery.notice;
    ini.section("rules")
        .millis("drain_grace_ms", bench.drain_grace, 0)
        .millis("purge_grace_ms", purges.grace, 0)
        .millis("purge_done_ms", purges.deadline, 0)
        // The bench states only a maximum; half of it serves as the minimum.
        .millis("purge_told_least_ms", purges.max_delay / 2.0, 0)
        .millis("purge_told_most_ms", purges.max_delay, 0)
        .millis("list_told_least_ms", add.min(notice), 0)
        .millis("list_told_most_ms", add.max(notice), 0);
}

fn write_classes(bench: &BenchScenario, layout: &Layout, ini: &mut IniWriter) {
    let shares: f64 = bench.classes.iter().map(|class| class.share).sum();
    // The number of objects is reduced with the size of the stores, so that stores hold the same share of the objects.
    let object_share = match layout.size {
        Size::Full => 1.0,
        Size::Loopback => layout
            .capacity_ratio(bench)
            .clamp(LOOPBACK_MIN_OBJECT_SHARE, 1.0),
    };
    for (class, catalogue) in bench.classes.iter().zip(&bench.family.catalogues) {
        let mean_kb = class.transfer_time / 1e6 * layout.kb_per_s;
        write_class(
            class,
            catalogue,
            class.share / shares,
            mean_kb,
            object_share,
            ini,
        );
    }
}

fn write_class(
    class: &BenchClass,
    catalogue: &BenchCatalogue,
    share: f64,
    mean_kb: f64,
    object_share: f64,
    ini: &mut IniWriter,
) {
    ini.section(format_args!("class {}", class.name))
        .number("share", share, 4)
        .number("mean_kb", mean_kb, 2)
        .number("sigma", catalogue.sigma, 3)
        .key(
            "objects",
            (catalogue.objects * object_share).max(1.0) as u64,
        )
        .key("parts", catalogue.parts.max(1.0) as u64)
        .number("zipf", catalogue.zipf.clamp(0.01, 5.0), 3)
        .number("once", catalogue.once_share, 4)
        .number("local", catalogue.local_share, 4)
        .millis("aim_ms", class.latency_objective, 0)
        .number("aim_stretch", class.latency_objective_stretch, 2)
        .millis("deadline_ms", class.deadline, 0)
        .key("worth", class.priority_weight)
        .number("late_worth", class.late_value, 3)
        .number("old_worth", catalogue.stale_value, 3)
        .millis("fresh_ms", catalogue.freshness_lifetime, 0)
        .millis("grace_ms", catalogue.stale_if_error, 0)
        .key("effect", effect(class));
}

fn effect(class: &BenchClass) -> &'static str {
    match class.effect.as_str() {
        "keyed" => "keyed",
        "unsafe" => "unsafe",
        _ if class.write => "keyed",
        _ => "safe",
    }
}
