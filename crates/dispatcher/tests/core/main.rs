//! Tests of the core without sockets, for inputs in different orders.
mod attempt_begin;
mod bounds;
mod endpoint_list;
mod harness;
mod requests;
mod slow_start;
mod state_file;
