//! Tests of the classification of accept errors and of the draining of the accept queue.
use super::*;
use crate::network::Network;

#[test]
fn accept_error_is_classified_by_errno() {
    let classify = |errno| AcceptFailure::of(&Error::from_raw_os_error(errno));
    for errno in [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
        libc::EPROTO,
    ] {
        assert_eq!(classify(errno), AcceptFailure::Connection, "errno {errno}");
    }
    assert_eq!(classify(libc::EMFILE), AcceptFailure::DescriptorLimit);
    for errno in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert_eq!(
            classify(errno),
            AcceptFailure::ResourceShortage,
            "errno {errno}"
        );
    }
    assert_eq!(
        AcceptFailure::of(&Error::other("error without an errno")),
        AcceptFailure::ResourceShortage
    );
}

#[tokio::test]
async fn drained_queue_serves_every_waiting_connection_then_refuses() {
    let local: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = Network::Tcp.listen(local).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut clients = Vec::new();
    for _ in 0..3 {
        clients.push(Network::Tcp.connect(None, address).await.unwrap());
    }
    let mut served = Vec::new();
    let no_pause = |error: Error| async move { panic!("accept failed: {error}") };
    listener
        .drain_accept_queue(0, |socket, _| served.push(socket), no_pause)
        .await;
    assert_eq!(served.len(), clients.len());
    let refused = Network::Tcp.connect(None, address).await;
    assert_eq!(
        refused.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionRefused
    );
}
