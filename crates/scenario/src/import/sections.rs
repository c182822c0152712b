//! Sections of the imported scenario that describe fleet, workload and limits.
use super::bench_day::{BenchCatalogue, BenchClass, BenchDay};
use super::layout::{mean, Layout};
use super::Size;
use crate::ini_writer::IniWriter;

/// Requests that a parent or the origin handles at once, and queues: enough for any load.
const UNBOUNDED_CONCURRENCY: u32 = 4096;

/// Fills that a parent runs at once: enough for any load.
const UNBOUNDED_FILLS: u32 = 1024;

/// Fill retries at most.
const MAX_FILL_RETRIES: f64 = 3.0;

/// Least weight of a parent or the origin.
const MIN_WEIGHT: f64 = 0.05;

/// Share of clients over HTTP at loopback size.
const LOOPBACK_HTTP_SHARE: f64 = 0.3;

/// Share of each class's objects that remain at loopback size, at least.
const LOOPBACK_MIN_OBJECT_SHARE: f64 = 0.3;

const BYTES_PER_KIB: f64 = 1024.0;

/// Writes every section but those of the faults.
pub(super) fn write_sections(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    write_day(day, layout, ini);
    write_fleet(day, layout, ini);
    write_cache(day, layout, ini);
    write_parent(day, layout, ini);
    write_origin(day, layout, ini);
    write_clients(day, layout, ini);
    write_objective(day, ini);
    write_rules(day, ini);
    write_classes(day, layout, ini);
}

fn write_day(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let shares: f64 = day.classes.iter().map(|class| class.share).sum();
    let weighted: f64 = day
        .classes
        .iter()
        .map(|class| class.share * class.transfer_time)
        .sum();
    let mean_transfer_s = weighted / shares / 1e6;
    let rate = day.traffic.load * layout.cache_capacity() / mean_transfer_s;
    let title = format!("a {} day of {}", day.kind, day.site);
    ini.comment(format_args!("Imported: {title}."));
    ini.section("day")
        .key("about", format_args!("{title}, imported"))
        .number("seconds", day.duration / 1e6 + layout.warm_up_s(), 1)
        .number("rate", rate, 2)
        .number("warm_s", layout.warm_up_s(), 0)
        .number("purges_per_s", day.family.purges.per_s, 3);
}

fn write_fleet(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let family = &day.family;
    let siblings = match family.siblings.as_str() {
        "location" => "zone",
        other => other,
    };
    let idempotency_window = day
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
        .number("link", branch_link(day, layout), 2)
        .millis("near_ms", day.network.local_latency, 2)
        .millis("to_hub_ms", family.links.hub_latency, 2)
        .millis("hub_step_ms", family.links.hub_step_latency, 2)
        .millis("key_window_ms", idempotency_window, 0)
        .flag("straight", family.bypasses_caches)
        .flag("joins", family.fills.coalesces_fills)
        .key("siblings", siblings)
        .key("notes", &family.cache_status_notes)
        .flag("sizes_told", family.knows_sizes)
        .key("max_attempts", day.allowed.max_attempts);
}

/// Transfers that a branch's inbound link carries, in proportion to the branch's capacity.
fn branch_link(day: &BenchDay, layout: &Layout) -> f64 {
    let links = &day.family.links.link_by_zone;
    let bench_link = mean(links.iter().skip(layout.first_branch).copied());
    let bench_capacity = layout.bench_caches_per_branch(day) * layout.bench_cache_weight;
    bench_link * layout.caches_per_branch as f64 * layout.cache_weight / bench_capacity.max(1e-9)
}

/// Store of a cache host, KiB. The bench states stores as microseconds of transfer, by zone.
fn cache_store_kib(day: &BenchDay, layout: &Layout) -> f64 {
    let kb_per_s = day.family.links.kb_per_s;
    let stores = &day.family.store_by_zone;
    let store_time = mean(stores.iter().copied().filter(|time| *time > 0.0));
    let bench_store_kib = store_time / 1e6 * kb_per_s / layout.bench_caches_per_branch(day);
    let scale = layout.kb_per_s / kb_per_s * (layout.cache_weight / layout.bench_cache_weight);
    bench_store_kib * scale
}

fn write_cache(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let tier = &day.tiers[0];
    let kind = &tier.kinds[0];
    let fills = &day.family.fills;
    ini.section("cache")
        .number("weight", layout.cache_weight, 2)
        .key("places", (kind.concurrency * kind.cores).max(1.0) as u64)
        .key("queue", (kind.queue * kind.cores) as u64)
        .number("thrash", kind.crowding_loss / 10.0, 3)
        .number("store_mb", cache_store_kib(day, layout) / BYTES_PER_KIB, 2)
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
        .number("multiple", day.overload_factor, 2)
        .millis("window_ms", day.overload_window, 0);
}

fn write_parent(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let parents = &day.family.parents;
    let fills = &day.family.fills;
    let bench_count = layout.parents.len() as f64;
    let count = layout.parent_count.max(1) as f64;
    let ratio = layout.capacity_ratio(day);
    let bench_weight = mean(
        layout
            .parents
            .iter()
            .map(|index| day.servers[*index].weight),
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
        .millis("window_ms", day.overload_window, 0);
}

fn write_origin(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let origin = &day.family.origin;
    let weight = origin.link * layout.capacity_ratio(day);
    ini.section("origin")
        .number("weight", weight.max(MIN_WEIGHT), 2)
        .key("places", UNBOUNDED_CONCURRENCY)
        .key("queue", UNBOUNDED_CONCURRENCY)
        .millis("think_ms", origin.service_time, 1)
        .number("fall_multiple", origin.overload.multiple, 2)
        .millis("fall_window_ms", origin.overload.window, 0)
        .millis("fall_down_ms", origin.overload.downtime, 0);
}

fn write_clients(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let http_share = match layout.size {
        Size::Full => 0.0,
        Size::Loopback => LOOPBACK_HTTP_SHARE,
    };
    ini.section("clients")
        .key("retries", day.clients.retries as u64)
        .millis("back_off_ms", day.clients.backoff, 0)
        .key("http", http_share)
        .key("hang_up", 0)
        .number("honour", day.clients.retry_after_share, 2);
}

fn write_objective(day: &BenchDay, ini: &mut IniWriter) {
    if let Some(objective) = &day.objective {
        ini.section("goal")
            .key("whole", objective.whole)
            .key("worst_10s", objective.worst_10s)
            .key("worst_class", objective.worst_class);
    }
}

fn write_rules(day: &BenchDay, ini: &mut IniWriter) {
    let purges = &day.family.purges;
    let add = day.discovery.add;
    let notice = day.discovery.notice;
    ini.section("rules")
        .millis("drain_grace_ms", day.drain_grace, 0)
        .millis("purge_grace_ms", purges.grace, 0)
        .millis("purge_done_ms", purges.deadline, 0)
        // Half the most: the bench states no least.
        .millis("purge_told_least_ms", purges.max_delay / 2.0, 0)
        .millis("purge_told_most_ms", purges.max_delay, 0)
        .millis("list_told_least_ms", add.min(notice), 0)
        .millis("list_told_most_ms", add.max(notice), 0);
}

fn write_classes(day: &BenchDay, layout: &Layout, ini: &mut IniWriter) {
    let shares: f64 = day.classes.iter().map(|class| class.share).sum();
    // Smaller stores hold the same share of the objects.
    let object_share = match layout.size {
        Size::Full => 1.0,
        Size::Loopback => layout
            .capacity_ratio(day)
            .clamp(LOOPBACK_MIN_OBJECT_SHARE, 1.0),
    };
    for (class, catalogue) in day.classes.iter().zip(&day.family.catalogues) {
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
