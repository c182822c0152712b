//! `pointspindle serve`.
use crate::Failure;
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::{BoundAddresses, PreparedDispatcher};
use pointspindle_etcd::EtcdSource;
use pointspindle_protocol::EndpointRecord;
use pointspindle_testbed::demo;
use pointspindle_transport::Network;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

#[derive(clap::Args)]
pub struct Arguments {
    /// Settings; see examples/edge.ini. Without one, an embedded fleet is started.
    pub file: Option<PathBuf>,
    /// Write the addresses that it listens on to this file, as JSON, once it does.
    #[arg(long)]
    pub ready_file: Option<PathBuf>,
    /// Seed of what is drawn at random (timers only).
    #[arg(long)]
    pub seed: Option<u64>,
    /// Port of HTTP in the embedded fleet; 0: any free one.
    #[arg(long, default_value_t = 8080)]
    pub port: u16,
}

pub async fn run(arguments: Arguments) -> Result<(), Failure> {
    descriptors();
    let mut stop = signal(SignalKind::terminate())?;
    let mut again = signal(SignalKind::hangup())?;
    let seed = arguments.seed.unwrap_or_else(|| std::process::id() as u64);
    let (settings, fleet) = match &arguments.file {
        Some(file) => (pointspindle_config::load(file)?, None),
        None => {
            let (settings, stage) = embedded(arguments.port).await?;
            (settings, Some(stage))
        }
    };
    let source = EtcdSource::of(&settings, seed)?;
    let wait = settings.etcd.as_ref().map_or(0, |e| e.start_wait_us);
    let mut prepared = PreparedDispatcher::new(Network::Tcp, settings, seed).await;
    if let Some(source) = source {
        prepared.follow(source);
        if !prepared
            .wait_until_current(Duration::from_micros(wait))
            .await
        {
            tracing::warn!(
                "etcd does not answer; the doors open with the lists that are known from before"
            );
        }
    }
    let dispatcher = prepared.open().await?;
    if let Some(file) = &arguments.ready_file {
        write_whole(file, &serde_json::to_vec(dispatcher.bound_addresses())?)?;
    }
    if fleet.is_some() {
        try_it(dispatcher.bound_addresses());
    }
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
            _ = again.recv() => match dispatcher.reload_tls() {
                Ok(()) => tracing::info!("certificates and keys read again"),
                Err(e) => tracing::error!(error = %e, "certificates and keys stay as they were"),
            },
        }
    }
    if !dispatcher.stop().await {
        return Err(Failure::CannotRun(
            "some requests had no answer when the time to stop was over".into(),
        ));
    }
    Ok(())
}

/// As many descriptors as this process may have without privileges: each connection is one.
pub(crate) fn descriptors() {
    match rlimit::increase_nofile_limit(u64::MAX) {
        Ok(most) => tracing::debug!(most, "descriptors"),
        Err(e) => tracing::warn!(error = %e, "the limit of descriptors stays as it is"),
    }
}

/// Whole or not at all: whoever waits for the file never reads half of it.
pub(crate) fn write_whole(file: &std::path::Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut beside = file.as_os_str().to_owned();
    beside.push(".new");
    std::fs::write(&beside, bytes)?;
    std::fs::rename(&beside, file)
}

/// Settings and members of a first try, all on loopback.
async fn embedded(
    port: u16,
) -> Result<
    (
        DispatcherSettings,
        pointspindle_testbed::sockets::EmulatedHosts,
    ),
    Failure,
> {
    let (stage, members) = demo::start(["lesson-video", "test-page"], ["hub", "branch"]).await?;
    let mut text = format!(
        "[dispatcher]\nname = first-try\nzone = branch\nnumber = 0\n\
         [listen]\nhttp = 127.0.0.1:{port}\nframed = 127.0.0.1:0\ncontrol = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         [zone hub]\n[zone branch]\ndispatchers = 1\n\
         [class lesson-video]\npath_prefix = /video/\ndeadline_ms = 6000\naim_ms = 400\nworth = 2\n\
         [class test-page]\npath_prefix = /\nfresh_ms = 12000\ngrace_ms = 20000\n"
    );
    text += &sections(&members);
    Ok((
        pointspindle_config::parse("embedded settings", &text)?,
        stage,
    ))
}

/// The settings' sections of members.
pub(crate) fn sections(members: &[EndpointRecord]) -> String {
    let section = |(n, m): (usize, &EndpointRecord)| {
        let (address, kind, zone, weight) = (&m.address, &m.kind, &m.zone, m.weight);
        format!(
            "[member m{n}]\naddress = {address}\nkind = {kind}\nzone = {zone}\nweight = {weight}\n"
        )
    };
    members.iter().enumerate().map(section).collect()
}

fn try_it(bound: &BoundAddresses) {
    let Some(http) = bound.http else { return };
    println!("a dispatcher, two cache hosts, a parent and an origin run here. Try:");
    for (path, ..) in demo::SAMPLES {
        println!("  curl -i http://{http}{path}");
    }
    if let Some(framed) = bound.framed {
        println!(
            "  pointspindle get pspn://{framed}/video/lesson-1 --class lesson-video -o lesson-1"
        );
    }
    if let Some(metrics) = bound.metrics {
        println!("  curl http://{metrics}/metrics");
    }
    if let Some(control) = bound.control {
        println!("  pointspindle members --at {control}");
        println!("  pointspindle purge --at {control} --object /page/welcome");
    }
}
