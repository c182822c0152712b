//! The gRPC services KV, Lease and Auth, which operate on the store. The Watch service is in [`watches`](crate::watches).
use crate::traffic::transaction_kind;
use crate::{EtcdEmulator, RequestError, Store};
use pointspindle_etcd::client::stubs::auth_server::Auth;
use pointspindle_etcd::client::stubs::k_v_server::KV;
use pointspindle_etcd::client::stubs::lease_server::Lease;
use pointspindle_etcd::proto::*;
use std::pin::Pin;
use tonic::{Request, Response, Status, Streaming};

/// Stream of responses to a streaming call.
pub(crate) type ResponseStream<T> =
    Pin<Box<dyn futures_util::Stream<Item = Result<T, Status>> + Send>>;

impl From<RequestError> for Status {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::Compacted | RequestError::FutureRevision => {
                Self::out_of_range(error.to_string())
            }
            RequestError::NoLease => Self::not_found(error.to_string()),
        }
    }
}

impl EtcdEmulator {
    fn header(&self) -> Option<ResponseHeader> {
        Some(self.inspect(Store::header))
    }

    /// Runs one operation as a separate transaction.
    fn run_single_operation(
        &self,
        operation: request_op::Request,
    ) -> Result<TxnResponse, RequestError> {
        let request = TxnRequest {
            success: vec![RequestOp {
                request: Some(operation),
            }],
            ..Default::default()
        };
        self.change(|store, _| store.txn(&request))
    }
}

#[tonic::async_trait]
impl KV for EtcdEmulator {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        self.admit(request.metadata()).await?;
        let request = request.into_inner();
        let response = self.store().range(&request)?;
        let kind = if request.range_end.is_empty() {
            "read"
        } else {
            "snapshot"
        };
        self.inner.traffic.record_call(kind, &request, &response);
        Ok(Response::new(response))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.admit(request.metadata()).await?;
        let committed =
            self.run_single_operation(request_op::Request::Put(request.into_inner()))?;
        Ok(Response::new(PutResponse {
            header: committed.header,
            prev_kv: None,
        }))
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.admit(request.metadata()).await?;
        let committed =
            self.run_single_operation(request_op::Request::DeleteRange(request.into_inner()))?;
        let response = committed
            .responses
            .first()
            .and_then(|r| r.response.as_ref());
        let deleted = match response {
            Some(response_op::Response::DeleteRange(response)) => response.deleted,
            _ => 0,
        };
        Ok(Response::new(DeleteRangeResponse {
            header: committed.header,
            deleted,
            prev_kvs: vec![],
        }))
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.admit(request.metadata()).await?;
        let request = request.into_inner();
        let response = self.change(|store, _| store.txn(&request))?;
        let kind = transaction_kind(&request);
        self.inner.traffic.record_call(kind, &request, &response);
        Ok(Response::new(response))
    }

    async fn compact(
        &self,
        request: Request<CompactionRequest>,
    ) -> Result<Response<CompactionResponse>, Status> {
        self.admit(request.metadata()).await?;
        self.change(|store, _| store.compact(request.get_ref().revision))?;
        Ok(Response::new(CompactionResponse {
            header: self.header(),
        }))
    }
}

#[tonic::async_trait]
impl Lease for EtcdEmulator {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.admit(request.metadata()).await?;
        let request = request.into_inner();
        let id = self.change(|store, now| store.grant(now, request.ttl));
        let response = LeaseGrantResponse {
            header: self.header(),
            id,
            ttl: request.ttl,
            error: String::new(),
        };
        self.inner
            .traffic
            .record_call("lease granted", &request, &response);
        Ok(Response::new(response))
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.admit(request.metadata()).await?;
        self.change(|store, _| store.revoke(request.get_ref().id))?;
        Ok(Response::new(LeaseRevokeResponse {
            header: self.header(),
        }))
    }

    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        self.admit(request.metadata()).await?;
        let state = (self.clone(), request.into_inner());
        let responses = futures_util::stream::unfold(state, |(etcd, mut requests)| async move {
            let request = requests.message().await.ok()??;
            let response = etcd.keep_alive(&request);
            Some((Ok(response), (etcd, requests)))
        });
        Ok(Response::new(Box::pin(responses)))
    }
}

impl EtcdEmulator {
    fn keep_alive(&self, request: &LeaseKeepAliveRequest) -> LeaseKeepAliveResponse {
        let ttl = self.change(|store, now| store.keep_alive(now, request.id));
        let response = LeaseKeepAliveResponse {
            header: self.header(),
            id: request.id,
            ttl,
        };
        self.inner
            .traffic
            .record_call("lease kept", request, &response);
        response
    }
}

#[tonic::async_trait]
impl Auth for EtcdEmulator {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Result<Response<AuthenticateResponse>, Status> {
        let request = request.into_inner();
        let Some(user) = &self.inner.user else {
            return Err(Status::failed_precondition(
                "etcdserver: authentication is not enabled",
            ));
        };
        if user.name != request.name || user.password != request.password {
            return Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            ));
        }
        Ok(Response::new(AuthenticateResponse {
            header: self.header(),
            token: user.token(),
        }))
    }
}
