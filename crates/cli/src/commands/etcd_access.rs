//! Changes of endpoint lists and purges through etcd, for all dispatchers that watch it.
use crate::output::endpoint_list::endpoint_line;
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_etcd::layout::{MemberRecord, PurgeRecord};
use pointspindle_etcd::writer::{self, PurgePromise};
use pointspindle_etcd::{feed, Etcd, EtcdAccess, Output, ViewFreshness, Watcher, WatcherSettings};
use pointspindle_protocol::{EndpointListForm, EndpointListHead, EndpointRecord};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to wait for the view if it is shown once.
const VIEW_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of dispatchers without a promise that are printed.
const MAX_PRINTED_NAMES: usize = 5;

/// Arguments for access to etcd.
#[derive(clap::Args)]
pub struct EtcdArguments {
    /// Use etcd, for all dispatchers that watch it: http://ADDRESS:PORT, several separated by commas; https with
    /// --authority.
    #[arg(long = "etcd", id = "etcd", value_name = "URL", value_delimiter = ',')]
    endpoints: Vec<String>,
    /// Prefix of all keys, followed by /v1/.
    #[arg(long, default_value = "/pointspindle")]
    prefix: String,
    /// PEM file of the certificate authority of etcd's certificates.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// User name; the password is the first line of --password-file.
    #[arg(long, requires = "password_file")]
    user: Option<String>,
    /// File with the user's password.
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
}

impl EtcdArguments {
    /// Returns whether the command uses etcd.
    pub fn is_used(&self) -> bool {
        !self.endpoints.is_empty()
    }

    fn open(&self) -> Result<Etcd, CommandError> {
        let access = EtcdAccess {
            endpoints: self.endpoints.clone(),
            ca_certificate: self.authority.clone(),
            client_certificate: None,
            user: self.user.clone().zip(self.password_file.clone()),
        };
        Ok(Etcd::new(&access, REQUEST_TIMEOUT)?)
    }

    /// Writes a purge to etcd; with `waits`, returns once the purge is in force at all dispatchers.
    pub async fn purge(&self, object: Option<String>, group: u64, waits: bool) -> CommandResult {
        let etcd = self.open()?;
        let revision =
            writer::write_purge(&etcd, &self.prefix, &PurgeRecord { object, group }).await?;
        println!("purged at revision {revision}");
        // The promises are read after the write: a dispatcher that registers later has read the purge.
        let promise = writer::read_purge_promise(&etcd, &self.prefix).await?;
        if promise.dispatchers == 0 || !promise.without_promise.is_empty() {
            print_missing_promise(&promise);
            return if waits {
                Err(CommandError::Negative)
            } else {
                Ok(())
            };
        }
        println!(
            "in force at all {} dispatchers within {} ms of the write, as they have promised",
            promise.dispatchers, promise.within_ms
        );
        if waits {
            tokio::time::sleep(Duration::from_millis(promise.within_ms)).await;
            println!("in force everywhere");
        }
        Ok(())
    }

    /// Rewrites an endpoint's record. `change` maps the old record to the new one; `None` removes the record.
    pub async fn update_endpoint(
        &self,
        address: &str,
        change: impl Fn(Option<MemberRecord>) -> Result<Option<MemberRecord>, String>,
    ) -> CommandResult {
        let etcd = self.open()?;
        let revision = writer::update_member(&etcd, &self.prefix, address, change).await?;
        println!("{address}: written at revision {revision}");
        Ok(())
    }

    /// Prints the view as dispatchers see it: once, or with `is_continuous` until the command is interrupted.
    pub async fn show(&self, is_continuous: bool) -> CommandResult {
        let etcd = self.open()?;
        let seed = u64::from(std::process::id());
        let watcher = Watcher::new(&self.prefix, WatcherSettings::default(), 0, seed);
        let mut view = PrintedView::default();
        let followed = feed::run(etcd, self.prefix.clone(), watcher, move |output| {
            let is_list = matches!(output, Output::EndpointList(_));
            view.print(output);
            is_continuous || !is_list
        });
        tokio::select! {
            () = followed => Ok(()),
            () = tokio::time::sleep(VIEW_TIMEOUT), if !is_continuous => {
                Err(CommandError::CannotRun("etcd did not deliver the endpoint list in time".into()))
            }
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    }
}

fn print_missing_promise(promise: &PurgePromise) {
    let named: Vec<&str> = promise
        .without_promise
        .iter()
        .take(MAX_PRINTED_NAMES)
        .map(String::as_str)
        .collect();
    let names = match named[..] {
        [] => String::new(),
        _ => format!(": {} ...", named.join(", ")),
    };
    println!(
        "no time can be told: {} of {} dispatchers promise none (purge_within_ms){names}",
        promise.without_promise.len(),
        promise.dispatchers
    );
}

/// Endpoints of the view that has been printed.
#[derive(Default)]
struct PrintedView {
    endpoints: BTreeMap<String, EndpointRecord>,
}

impl PrintedView {
    fn print(&mut self, output: Output) {
        match output {
            Output::EndpointList(head) => self.print_list(&head),
            Output::Purge(head) => match head.object {
                Some(object) => println!("purge of {object}"),
                None => println!("purge of group {}", head.group),
            },
            Output::Dispatchers(dispatchers) => {
                let names: Vec<String> = dispatchers.keys().cloned().collect();
                println!("dispatchers: {}", names.join(", "));
            }
            Output::UpdatesMissed { initial: false, .. } => {
                println!("history lost: all cached copies count as purged");
            }
            Output::InvalidKey(error) => println!("invalid key ignored: {error}"),
            Output::Freshness(ViewFreshness::Stale) => println!("the view is stale"),
            Output::Freshness(ViewFreshness::Current) => println!("the view is current"),
            _ => {}
        }
    }

    fn print_list(&mut self, head: &EndpointListHead) {
        if head.form() == EndpointListForm::Full {
            self.endpoints.clear();
        }
        for endpoint in &head.endpoints {
            self.endpoints
                .insert(endpoint.address.clone(), endpoint.clone());
            println!("{}", endpoint_line(endpoint));
        }
        println!("list {}, {} members", head.seq, self.endpoints.len());
    }
}
