//! Records that a measurement writes directly to the emulator's store.
use super::MeasurementPlan;
use crate::EtcdEmulator;
use pointspindle_etcd::layout::{member_key, purge_key, EndpointState, MemberRecord, PurgeRecord};
use pointspindle_etcd::proto::*;

/// Prefix of all keys of a measurement.
pub(super) const PREFIX: &str = "/measure";
/// Number of zones over which the endpoints are spread.
const ZONES: usize = 50;
const WRITES_DURING_OUTAGE: usize = 3;

struct Record {
    key: String,
    value: Vec<u8>,
}

/// Writes the initial records of the plan.
pub(super) fn write_initial_records(emulator: &EtcdEmulator, plan: MeasurementPlan) {
    put_all(emulator, (0..plan.initial_endpoints).map(member));
    let purges =
        (0..plan.initial_purges).map(|number| purge(&format!("before-{number:07}"), number));
    put_all(emulator, purges);
}

/// Writes purges directly to the store, which the emulator's injected faults do not affect.
pub(super) fn write_during_outage(emulator: &EtcdEmulator) {
    for number in 0..WRITES_DURING_OUTAGE {
        let record = purge(&format!("again-{number}"), number);
        put_all(emulator, std::iter::once(record));
    }
}

fn member(number: usize) -> Record {
    let record = MemberRecord {
        state: EndpointState::Ready,
        weight: 8.0,
        zone: format!("branch-{}", number % ZONES),
        kind: "cache".into(),
        cell: 0,
        start: 1,
        started_unix_ms: None,
    };
    let address = format!(
        "10.{}.{}.{}:9000",
        number / 65_536,
        number / 256 % 256,
        number % 256
    );
    Record {
        key: member_key(PREFIX, &address),
        value: serde_json::to_vec(&record).unwrap_or_default(),
    }
}

fn purge(id: &str, number: usize) -> Record {
    let record = PurgeRecord {
        object: Some(format!("/before/{number}")),
        group: number as u64,
    };
    Record {
        key: purge_key(PREFIX, id),
        value: serde_json::to_vec(&record).unwrap_or_default(),
    }
}

/// Puts all records in one transaction.
fn put_all(emulator: &EtcdEmulator, records: impl Iterator<Item = Record>) {
    let put = |record: Record| RequestOp {
        request: Some(request_op::Request::Put(PutRequest {
            key: record.key.into_bytes(),
            value: record.value,
            ..Default::default()
        })),
    };
    let request = TxnRequest {
        success: records.map(put).collect(),
        ..Default::default()
    };
    // A transaction of puts fails only if a lease is unknown, and these puts have no lease.
    let _ = emulator.change(|store, _| store.txn(&request));
}
