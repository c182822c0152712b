//! Tests `pointspindle run` as a process from outside, with clients, cache hosts and a discovery server on
//! loopback.
mod cancellation;
mod client_faults;
mod clock_steps;
mod connection_establishment;
mod connection_reuse;
mod discovery;
mod graceful_shutdown;
mod request_deadline;
mod request_forwarding;
mod resource_limits;
mod scaling;
mod shutdown_under_load;
mod soak;
mod startup;
mod support;
mod system_call_failures;
