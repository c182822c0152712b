//! Generates the gRPC stubs of etcd's services from a list of their methods. The messages are in `src/proto.rs`, so neither a
//! `.proto` file nor `protoc` is needed.
use tonic_build::manual::{Builder, Method, MethodBuilder, Service};

/// Returns a builder of the method `route`, whose messages are `{message}Request` and `{message}Response`.
fn method(name: &str, route: &str, message: &str) -> MethodBuilder {
    Method::builder()
        .name(name)
        .route_name(route)
        .input_type(format!("crate::proto::{message}Request"))
        .output_type(format!("crate::proto::{message}Response"))
        .codec_path("tonic::codec::ProstCodec")
}

fn unary(name: &str, route: &str, message: &str) -> Method {
    method(name, route, message).build()
}

fn streaming(name: &str, route: &str, message: &str) -> Method {
    method(name, route, message)
        .client_streaming()
        .server_streaming()
        .build()
}

fn service(name: &str, methods: Vec<Method>) -> Service {
    let service = Service::builder().name(name).package("etcdserverpb");
    methods
        .into_iter()
        .fold(service, |service, method| service.method(method))
        .build()
}

fn main() {
    let key_value = vec![
        unary("range", "Range", "Range"),
        unary("put", "Put", "Put"),
        unary("delete_range", "DeleteRange", "DeleteRange"),
        unary("txn", "Txn", "Txn"),
        unary("compact", "Compact", "Compaction"),
    ];
    let watch = vec![streaming("watch", "Watch", "Watch")];
    let lease = vec![
        unary("lease_grant", "LeaseGrant", "LeaseGrant"),
        unary("lease_revoke", "LeaseRevoke", "LeaseRevoke"),
        streaming("lease_keep_alive", "LeaseKeepAlive", "LeaseKeepAlive"),
    ];
    let auth = vec![unary("authenticate", "Authenticate", "Authenticate")];
    Builder::new().compile(&[
        service("KV", key_value),
        service("Watch", watch),
        service("Lease", lease),
        service("Auth", auth),
    ]);
    println!("cargo:rerun-if-changed=build.rs");
}
