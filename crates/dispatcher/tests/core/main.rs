//! The core without sockets: properties that hold for every order of events.
mod attempt_begin;
mod bounds;
mod endpoint_list;
mod harness;
mod requests;
mod slow_start;
mod state_file;
