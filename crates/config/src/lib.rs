//! Settings of a dispatcher and of a cache host, read from INI files with one section per concern. Each error names file,
//! line, key and reason.
//!
//! [`load`] and [`load_cache_host`] read a file and return all its errors if there are any. `examples/edge.ini` and
//! `examples/cache.ini` show every key.
#![forbid(unsafe_code)]
#![warn(missing_docs, missing_debug_implementations)]

mod cache_host;
mod dispatcher;
mod document;
mod endpoints;
mod error;
mod reader;
mod slow_start;

pub use cache_host::{CacheClass, CacheHostSettings, OriginSettings, StoreSettings};
pub use dispatcher::{
    ClassSettings, DispatcherSettings, EtcdSettings, ListenSettings, NetworkQuota, TlsSettings,
    UpstreamSettings,
};
pub use endpoints::{EndpointSpec, Role};
pub use error::{ConfigError, ConfigErrors};
pub use reader::Reader;

use std::path::Path;

/// Reads and checks the settings of a dispatcher.
pub fn load(path: &Path) -> Result<DispatcherSettings, ConfigErrors> {
    parse(&file_name(path), &read_file(path)?)
}

/// Reads and checks the settings of a cache host.
pub fn load_cache_host(path: &Path) -> Result<CacheHostSettings, ConfigErrors> {
    parse_cache_host(&file_name(path), &read_file(path)?)
}

/// Reads and checks the settings of a cache host from a text; `name` is the file name in errors.
pub fn parse_cache_host(name: &str, text: &str) -> Result<CacheHostSettings, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    let settings = cache_host::read(&mut reader);
    reader.finish()?;
    Ok(settings)
}

/// Reads and checks the settings of a dispatcher from a text; `name` is the file name in errors.
pub fn parse(name: &str, text: &str) -> Result<DispatcherSettings, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    let settings = dispatcher::read(&mut reader);
    reader.finish()?;
    Ok(settings)
}

fn file_name(path: &Path) -> String {
    path.display().to_string()
}

fn read_file(path: &Path) -> Result<String, ConfigErrors> {
    std::fs::read_to_string(path)
        .map_err(|error| ConfigErrors::unreadable(&file_name(path), &error))
}
