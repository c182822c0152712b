//! Random sequences of faults and writes.
use crate::follower::PREFIX;
use pointspindle_etcd::layout::{EndpointState, MemberRecord, PurgeRecord};
use pointspindle_etcd::{writer, Etcd};
use pointspindle_etcd_emulator::EtcdEmulator;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

const FAULTS_PER_ROUND: usize = 4;

pub struct WrittenPurge {
    pub object: String,
    /// Time of the acknowledgement.
    pub written: Instant,
}

/// Runs rounds of faults and writes, and counts them.
pub struct FaultScript {
    emulator: EtcdEmulator,
    client: Etcd,
    random: StdRng,
    pub drops: usize,
    pub restores: usize,
    faults: usize,
    purges: usize,
    /// Purges that the watcher has not reported yet.
    pub unreported_purges: Vec<WrittenPurge>,
}

impl FaultScript {
    pub fn new(emulator: EtcdEmulator, client: Etcd, seed: u64) -> Self {
        Self {
            emulator,
            client,
            random: StdRng::seed_from_u64(seed),
            drops: 0,
            restores: 0,
            faults: 0,
            purges: 0,
            unreported_purges: Vec::new(),
        }
    }

    pub fn totals(&self) -> String {
        format!(
            "{} drops, {} faults, {} restores, {} purges",
            self.drops, self.faults, self.restores, self.purges
        )
    }

    /// Injects faults with writes between them, then sometimes outages and a restore. The faults last until they are reset.
    pub async fn run_round(&mut self) {
        for _ in 0..FAULTS_PER_ROUND {
            self.inject_fault();
            for _ in 0..self.random.gen_range(0..6) {
                self.write().await;
            }
        }
        if self.random.gen_bool(0.1) {
            self.emulator.set_faults(|faults| faults.silent = true);
            let silence_ms = self.random.gen_range(10..400);
            tokio::time::sleep(Duration::from_millis(silence_ms)).await;
        }
        if self.random.gen_bool(0.1) {
            self.emulator.set_faults(|faults| faults.unavailable = true);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if self.random.gen_bool(0.1) {
            self.restore();
        }
    }

    fn inject_fault(&mut self) {
        self.faults += 1;
        match self.random.gen_range(0..10) {
            0..=3 => {
                self.emulator.drop_streams();
                self.drops += 1;
            }
            4..=5 => self.emulator.compact(),
            6 => self
                .emulator
                .set_faults(|faults| faults.events_per_fragment = 1),
            7 => self.emulator.set_faults(|faults| {
                faults.events_per_fragment = 1;
                faults.break_between_fragments = true;
            }),
            8 => self.emulator.set_faults(|faults| faults.no_leader = true),
            _ => {
                let delay = Duration::from_millis(3);
                self.emulator.set_faults(|faults| faults.delay = delay);
            }
        }
    }

    fn restore(&mut self) {
        let compacted = self.emulator.inspect(|store| store.compacted());
        let newest = self.emulator.inspect(|store| store.revision());
        let revision = self.random.gen_range(compacted.max(1)..=newest);
        self.emulator.restore(revision).unwrap();
        self.restores += 1;
    }

    async fn write(&mut self) {
        let address = format!("10.0.0.{}:80", self.random.gen_range(1..8));
        match self.random.gen_range(0..4) {
            0 => self.write_purge().await,
            1 => self.write_endpoint(&address, None).await,
            2 => {
                self.write_endpoint(&address, Some(EndpointState::Ready))
                    .await
            }
            _ => {
                self.write_endpoint(&address, Some(EndpointState::Draining))
                    .await
            }
        }
    }

    async fn write_purge(&mut self) {
        self.purges += 1;
        let object = format!("/o/{}", self.purges);
        let record = PurgeRecord {
            object: Some(object.clone()),
            group: 1,
        };
        writer::write_purge(&self.client, PREFIX, &record)
            .await
            .unwrap();
        self.unreported_purges.push(WrittenPurge {
            object,
            written: Instant::now(),
        });
    }

    /// Writes an endpoint's record, or deletes it.
    async fn write_endpoint(&self, address: &str, state: Option<EndpointState>) {
        let change = |_| Ok(state.map(endpoint_record));
        writer::update_member(&self.client, PREFIX, address, change)
            .await
            .unwrap();
    }
}

fn endpoint_record(state: EndpointState) -> MemberRecord {
    MemberRecord {
        state,
        weight: 5.0,
        zone: "b".to_owned(),
        kind: "cache".to_owned(),
        cell: 0,
        start: 1,
        started_unix_ms: None,
    }
}
