//! Writes the gRPC stubs of etcd's services from a list of their methods. The messages are in `src/proto.rs`, so that neither a
//! `.proto` file nor `protoc` is needed.
use tonic_build::manual::{Builder, Method, Service};

fn method(name: &str, route: &str, input: &str, output: &str, streams: bool) -> Method {
    let method = Method::builder()
        .name(name)
        .route_name(route)
        .input_type(format!("crate::proto::{input}"))
        .output_type(format!("crate::proto::{output}"))
        .codec_path("tonic::codec::ProstCodec");
    match streams {
        true => method.client_streaming().server_streaming().build(),
        false => method.build(),
    }
}

fn main() {
    let service = |name: &str, methods: Vec<Method>| {
        let service = Service::builder().name(name).package("etcdserverpb");
        methods
            .into_iter()
            .fold(service, |service, method| service.method(method))
            .build()
    };
    Builder::new().compile(&[
        service(
            "KV",
            vec![
                method("range", "Range", "RangeRequest", "RangeResponse", false),
                method("put", "Put", "PutRequest", "PutResponse", false),
                method(
                    "delete_range",
                    "DeleteRange",
                    "DeleteRangeRequest",
                    "DeleteRangeResponse",
                    false,
                ),
                method("txn", "Txn", "TxnRequest", "TxnResponse", false),
                method(
                    "compact",
                    "Compact",
                    "CompactionRequest",
                    "CompactionResponse",
                    false,
                ),
            ],
        ),
        service(
            "Watch",
            vec![method(
                "watch",
                "Watch",
                "WatchRequest",
                "WatchResponse",
                true,
            )],
        ),
        service(
            "Lease",
            vec![
                method(
                    "lease_grant",
                    "LeaseGrant",
                    "LeaseGrantRequest",
                    "LeaseGrantResponse",
                    false,
                ),
                method(
                    "lease_revoke",
                    "LeaseRevoke",
                    "LeaseRevokeRequest",
                    "LeaseRevokeResponse",
                    false,
                ),
                method(
                    "lease_keep_alive",
                    "LeaseKeepAlive",
                    "LeaseKeepAliveRequest",
                    "LeaseKeepAliveResponse",
                    true,
                ),
            ],
        ),
        service(
            "Auth",
            vec![method(
                "authenticate",
                "Authenticate",
                "AuthenticateRequest",
                "AuthenticateResponse",
                false,
            )],
        ),
    ]);
    println!("cargo:rerun-if-changed=build.rs");
}
