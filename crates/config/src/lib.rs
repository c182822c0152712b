//! Settings of a dispatcher as INI, one section a concern, every complaint with file, line, key and reason.
//!
//! [`load`] reads a file; nothing starts with a wrong one. `examples/edge.ini` shows every key.
#![forbid(unsafe_code)]

mod cache;
mod members;
mod reader;
mod schema;

pub use cache::{CacheClass, CacheHostSettings, OriginSettings, StoreSettings};
pub use members::{EndpointSpec, Role};
pub use reader::{ConfigError, ConfigErrors, Reader};
pub use schema::{
    ClassSettings, DispatcherSettings, EtcdSettings, ListenSettings, NetworkQuota, TlsSettings,
    UpstreamSettings,
};

use std::path::Path;

/// Reads and checks the settings of a dispatcher.
pub fn load(path: &Path) -> Result<DispatcherSettings, ConfigErrors> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigErrors::single(&name, 0, "", &format!("cannot be read: {e}")))?;
    parse(&name, &text)
}

/// Reads and checks the settings of a cache host.
pub fn load_cache(path: &Path) -> Result<CacheHostSettings, ConfigErrors> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigErrors::single(&name, 0, "", &format!("cannot be read: {e}")))?;
    parse_cache(&name, &text)
}

pub fn parse_cache(name: &str, text: &str) -> Result<CacheHostSettings, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    let settings = cache::read(&mut reader);
    reader.finish()?;
    settings.ok_or_else(|| ConfigErrors::single(name, 0, "", "nothing to start with"))
}

/// Reads and checks settings from a text; `name` stands in complaints.
pub fn parse(name: &str, text: &str) -> Result<DispatcherSettings, ConfigErrors> {
    let mut reader = Reader::new(name, text)?;
    let settings = schema::read(&mut reader);
    reader.finish()?;
    settings.ok_or_else(|| ConfigErrors::single(name, 0, "", "nothing to start with"))
}
