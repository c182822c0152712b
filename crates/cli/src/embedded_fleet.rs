//! A fleet with sample objects on loopback, for `serve` without a settings file and for measurements.
use pointspindle_cli::exit::CommandError;
use pointspindle_config::DispatcherSettings;
use pointspindle_dispatcher::BoundAddresses;
use pointspindle_protocol::EndpointRecord;
use pointspindle_testbed::demo;
use pointspindle_testbed::emulated_hosts::EmulatedHosts;

/// Classes of the sample objects.
const CLASSES: [&str; 2] = ["lesson-video", "test-page"];
/// Zones of the parent cache and of the cache hosts.
const ZONES: [&str; 2] = ["hub", "branch"];

/// Starts the hosts and returns them with their endpoint records. Dropping the hosts stops them.
pub async fn start_hosts() -> std::io::Result<(EmulatedHosts, Vec<EndpointRecord>)> {
    demo::start_demo_fleet(CLASSES, ZONES).await
}

/// Starts the hosts and returns settings for a dispatcher that listens for HTTP at `port` (0 selects a free port).
pub async fn start(port: u16) -> Result<(DispatcherSettings, EmulatedHosts), CommandError> {
    let (hosts, endpoints) = start_hosts().await?;
    let mut text = format!(
        "[dispatcher]\nname = first-try\nzone = branch\nnumber = 0\n\
         [listen]\nhttp = 127.0.0.1:{port}\nframed = 127.0.0.1:0\ncontrol = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         [zone hub]\n[zone branch]\ndispatchers = 1\n\
         [class lesson-video]\npath_prefix = /video/\ndeadline_ms = 6000\naim_ms = 400\nworth = 2\n\
         [class test-page]\npath_prefix = /\nfresh_ms = 12000\ngrace_ms = 20000\n"
    );
    text += &endpoint_sections(&endpoints);
    let settings = pointspindle_config::parse("embedded settings", &text)?;
    Ok((settings, hosts))
}

/// Returns the sections of a settings file that declare these endpoints.
pub fn endpoint_sections(endpoints: &[EndpointRecord]) -> String {
    let section = |(number, endpoint): (usize, &EndpointRecord)| {
        format!(
            "[member m{number}]\naddress = {}\nkind = {}\nzone = {}\nweight = {}\n",
            endpoint.address, endpoint.kind, endpoint.zone, endpoint.weight
        )
    };
    endpoints.iter().enumerate().map(section).collect()
}

/// Prints example commands that use the fleet.
pub fn print_suggestions(bound: &BoundAddresses) {
    let Some(http) = bound.http else { return };
    println!("a dispatcher, two cache hosts, a parent cache and an origin are running. Try:");
    for (path, ..) in demo::SAMPLE_OBJECTS {
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
