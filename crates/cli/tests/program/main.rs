//! The program as a person and an operator would use it: over its arguments, files, sockets and signals.
mod arguments;
mod configuration;
mod embedded_fleet;
mod host_failures;
mod shutdown;
mod support;
