//! The `[etcd]` section: endpoint lists and purges from etcd.
use super::MINUTE_MS;
use crate::reader::Reader;
use std::path::PathBuf;

const SECTION: &str = "etcd";
/// Shortest time, in microseconds, within which a purge can be guaranteed to be in force.
const MIN_PURGE_WITHIN_US: u64 = 300_000;

/// Access to etcd, the source of endpoint lists, purges and the number of dispatchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdSettings {
    /// URLs of the etcd members; at least one.
    pub endpoints: Vec<String>,
    /// Prefix of all keys, followed by `/v1/`. Not empty, and does not end with `/`.
    pub prefix: String,
    /// PEM file with the certificate of the authority that signed the certificates of the etcd members.
    pub authority: Option<PathBuf>,
    /// PEM files with the dispatcher's own certificate and key.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// User name, and the file whose first line is the password.
    pub user: Option<(String, PathBuf)>,
    /// Lease of this dispatcher's registration, in seconds.
    pub lease_s: i64,
    /// Timeout of a unary call, in microseconds.
    pub call_timeout_us: u64,
    /// Maximum time in microseconds to wait for the lists, after which the listeners open with the state of the
    /// previous run.
    pub start_wait_us: u64,
    /// Time in microseconds within which an acknowledged purge is guaranteed to be in force at this dispatcher; 0: no
    /// guarantee.
    pub purge_within_us: u64,
}

/// Files and user for authentication between the dispatcher and etcd.
struct Credentials {
    authority: Option<PathBuf>,
    identity: Option<(PathBuf, PathBuf)>,
    user: Option<(String, PathBuf)>,
}

pub(super) fn read(reader: &mut Reader) -> Option<EtcdSettings> {
    let endpoints = read_endpoints(reader);
    let prefix = read_prefix(reader);
    let credentials = read_credentials(reader);
    let lease_s = reader.number(SECTION, "lease_s", 5, 2, 600);
    let call_timeout_us = reader.duration_us(SECTION, "timeout_ms", 1_000.0, 10.0, MINUTE_MS);
    let start_wait_us = reader.duration_us(SECTION, "start_wait_ms", 2_000.0, 0.0, MINUTE_MS);
    let purge_within_us = reader.duration_us(SECTION, "purge_within_ms", 0.0, 0.0, MINUTE_MS);
    if (1..MIN_PURGE_WITHIN_US).contains(&purge_within_us) {
        let reason = "must be at least 300, or 0 for no guarantee";
        reader.report(SECTION, "purge_within_ms", reason);
    }
    if endpoints.is_empty() {
        if reader.has_section(SECTION) {
            let reason = "missing; expected URLs, such as http://127.0.0.1:2379";
            reader.report(SECTION, "endpoints", reason);
        }
        return None;
    }
    Some(EtcdSettings {
        endpoints,
        prefix,
        authority: credentials.authority,
        identity: credentials.identity,
        user: credentials.user,
        lease_s,
        call_timeout_us,
        start_wait_us,
        purge_within_us,
    })
}

fn read_endpoints(reader: &mut Reader) -> Vec<String> {
    let text = reader.text(SECTION, "endpoints").unwrap_or_default();
    let endpoints: Vec<String> = text
        .split(',')
        .map(|endpoint| endpoint.trim().to_owned())
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    let is_url =
        |endpoint: &str| endpoint.starts_with("http://") || endpoint.starts_with("https://");
    if let Some(invalid) = endpoints.iter().find(|endpoint| !is_url(endpoint)) {
        let reason = format!(
            "{invalid:?} is not a URL of the form http://ADDRESS:PORT or https://ADDRESS:PORT"
        );
        reader.report(SECTION, "endpoints", &reason);
    }
    endpoints
}

fn read_prefix(reader: &mut Reader) -> String {
    let default = "/pointspindle".to_owned();
    let prefix = reader.value(SECTION, "prefix", default, "the prefix of all keys");
    if prefix.ends_with('/') || prefix.is_empty() {
        let reason = "must not be empty or end with /";
        reader.report(SECTION, "prefix", reason);
    }
    prefix
}

fn read_credentials(reader: &mut Reader) -> Credentials {
    let authority = reader.path(SECTION, "authority");
    let certificate = reader.path(SECTION, "certificate");
    let key = reader.path(SECTION, "key");
    let password_file = reader.path(SECTION, "password_file");
    if certificate.is_some() != key.is_some() {
        let missing = if key.is_none() { "key" } else { "certificate" };
        reader.report(
            SECTION,
            missing,
            "missing; certificate and key must be set together",
        );
    }
    let user = reader.non_empty_text(SECTION, "user");
    if user.is_some() != password_file.is_some() {
        let missing = if user.is_none() {
            "user"
        } else {
            "password_file"
        };
        reader.report(
            SECTION,
            missing,
            "missing; user and password_file must be set together",
        );
    }
    Credentials {
        authority,
        identity: certificate.zip(key),
        user: user.zip(password_file),
    }
}
