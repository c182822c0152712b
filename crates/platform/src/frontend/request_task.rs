//! The task of one client request, which runs the exchange of the core for it.
use super::client_stream::FastCgiClient;
use super::response_writer::Outgoing;
use super::Frontend;
use bytes::Bytes;
use pointspindle::IdempotencyKey;
use pointspindle_dispatcher::core;
use pointspindle_dispatcher::net::exchange::{self, IncomingRequest, RequestOutcome};
use pointspindle_platform_protocol::client_request::ClientRequest;
use pointspindle_platform_protocol::fastcgi::ProtocolStatus;
use pointspindle_protocol::RequestHead;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

const MICROS_PER_MILLI: u64 = 1_000;

/// Reservation of a transaction id, which is released when the request ends.
pub(super) struct TransactionGuard {
    transactions: Arc<Mutex<HashSet<String>>>,
    id: String,
}

impl TransactionGuard {
    /// Reserves a transaction id. Returns `None` if a request with this id is in flight.
    pub fn reserve(frontend: &Frontend, id: &str) -> Option<Self> {
        let is_new = frontend.transactions().insert(id.to_owned());
        is_new.then(|| Self {
            transactions: frontend.transactions.clone(),
            id: id.to_owned(),
        })
    }
}

impl Drop for TransactionGuard {
    fn drop(&mut self) {
        super::lock_transactions(&self.transactions).remove(&self.id);
    }
}

/// Runs a request until it ends.
pub(super) async fn run(
    frontend: Frontend,
    transaction: TransactionGuard,
    request: ClientRequest,
    body: Bytes,
    mut client: FastCgiClient,
) {
    let incoming = incoming_request(&frontend, request, body);
    let outcome = exchange::run(&frontend.core, incoming, &mut client).await;
    if outcome == RequestOutcome::ClientDisconnected {
        // No response is sent, but the client may reuse the request id only after the end record.
        let end = Outgoing::end_request(client.id, ProtocolStatus::Complete);
        client.responses.send(end);
    }
    // The session drops requests whose token is cancelled.
    client.cancelled.cancel();
    drop(transaction);
}

fn incoming_request(frontend: &Frontend, request: ClientRequest, body: Bytes) -> IncomingRequest {
    let class = &frontend.settings.classes[request.class];
    IncomingRequest {
        request: core::ClientRequest {
            class: request.class,
            object: request.object.clone(),
            part: request.part,
            group: request.group,
            time_left: request.timeout_ms * MICROS_PER_MILLI,
            size: None,
            idempotency_key: IdempotencyKey::from_text(&request.idempotency_key),
        },
        head_template: RequestHead {
            object: request.object,
            part: request.part,
            group: request.group,
            class: class.name.clone(),
            trace: request.transaction_id,
            idempotency_key: request.idempotency_key,
            if_none_match: request.client_validator,
            ..Default::default()
        },
        body,
    }
}
