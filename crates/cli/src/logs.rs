//! Structured logs on standard error, as text or JSON lines.
use tracing_subscriber::fmt;

pub fn start(level: tracing::Level, json: bool) {
    let builder = fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    if json {
        builder.json().with_current_span(true).init();
    } else {
        builder.with_ansi(false).init();
    }
}
