//! An emulated etcd that repeatedly breaks its watch streams and compacts its history.
use pointspindle_etcd::{Etcd, EtcdAccess};
use pointspindle_etcd_emulator::EtcdEmulator;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const FAULT_SEED: u64 = 1;
const STREAM_LIFETIME_MS: Range<u64> = 100..700;
const COMPACTION_PROBABILITY: f64 = 0.3;
const COMPACTION_DELAY_MS: Range<u64> = 0..8;

/// An emulated etcd under injected faults, and a client of it.
pub(super) struct UnreliableEtcd {
    /// The URL of the emulated etcd.
    pub endpoint: String,
    /// The client that the control plane writes with.
    pub client: Etcd,
}

impl UnreliableEtcd {
    /// Starts to listen on a free port and to inject faults.
    pub async fn start() -> std::io::Result<Self> {
        let emulator = EtcdEmulator::new(None);
        let endpoint = format!("http://{}", emulator.listen().await?);
        let access = EtcdAccess {
            endpoints: vec![endpoint.clone()],
            ..Default::default()
        };
        let client = Etcd::new(&access, REQUEST_TIMEOUT).map_err(std::io::Error::other)?;
        tokio::spawn(inject_faults(emulator));
        Ok(Self { endpoint, client })
    }
}

async fn inject_faults(emulator: EtcdEmulator) {
    let mut rng = StdRng::seed_from_u64(FAULT_SEED);
    loop {
        let lifetime_ms = rng.gen_range(STREAM_LIFETIME_MS);
        tokio::time::sleep(Duration::from_millis(lifetime_ms)).await;
        emulator.drop_streams();
        if rng.gen_bool(COMPACTION_PROBABILITY) {
            // Compacts while the watchers are disconnected, so that they cannot read the revisions that they missed.
            let delay_ms = rng.gen_range(COMPACTION_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            emulator.compact();
        }
    }
}
