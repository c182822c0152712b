//! Structured logs on standard error, as text or JSON lines.
use tracing::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Starts logging. With `omits_requests` and without a `level`, single requests are not logged.
pub fn start(level: Option<Level>, omits_requests: bool, json: bool) {
    let targets = match (level, omits_requests) {
        (None, true) => Targets::new()
            .with_default(Level::WARN)
            .with_target("pointspindle_platform", Level::INFO),
        (level, _) => Targets::new().with_default(level.unwrap_or(Level::INFO)),
    };
    let layer = fmt::layer().with_writer(std::io::stderr).with_target(false);
    let layer = if json {
        layer
            .json()
            .with_current_span(true)
            .with_filter(targets)
            .boxed()
    } else {
        layer.with_ansi(false).with_filter(targets).boxed()
    };
    tracing_subscriber::registry().with(layer).init();
}
