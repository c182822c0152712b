//! Tests of the program from outside, through its arguments, files, sockets and signals.
mod arguments;
mod configuration;
mod embedded_fleet;
mod host_failures;
mod shutdown;
mod support;
