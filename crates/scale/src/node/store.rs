//! Runs the process of the emulated control store.
use super::{send_report, CommandStream, NodeError};
use crate::messages::{Command, Report};
use pointspindle_etcd_emulator::EtcdEmulator;

pub(super) async fn run(mut commands: CommandStream) -> Result<(), NodeError> {
    let emulator = EtcdEmulator::new(None);
    let endpoint = format!("http://{}", emulator.listen().await?);
    let report = || Report::Store {
        endpoint: endpoint.clone(),
        traffic: emulator.traffic().counts(),
    };
    send_report(&report());
    while let Some(command) = commands.next().await {
        match command {
            Command::SetUnavailable(unavailable) => {
                emulator.set_faults(|faults| faults.unavailable = unavailable);
            }
            Command::Compact => emulator.compact(),
            Command::DropStreams => emulator.drop_streams(),
            Command::Report | Command::ResetLags => {}
        }
        send_report(&report());
    }
    Ok(())
}
