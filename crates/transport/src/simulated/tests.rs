//! Tests of delivery over a simulated network with loss, partitions and cut connections.
use super::*;
use bytes::BytesMut;
use tokio::time::Instant;

async fn pair(network: &SimulatedNetwork) -> (Socket, Socket) {
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let mut listener = network.listen(address).unwrap();
    let from = "10.0.0.2".parse().unwrap();
    let (client_socket, server_socket) =
        tokio::join!(network.connect(Some(from), address), listener.accept());
    (client_socket.unwrap(), server_socket.unwrap().0)
}

/// Loss delays segments without changing their order; a partition reports no error and loses no bytes.
#[tokio::test(start_paused = true)]
async fn bytes_arrive_in_order_despite_loss_and_partition() {
    let conditions = NetworkConditions {
        loss: 0.3,
        ..NetworkConditions::default()
    };
    let network = SimulatedNetwork::new(conditions, 7);
    let (client_socket, server_socket) = pair(&network).await;
    let (_client_read, write) = client_socket.split();
    let (read, _server_write) = server_socket.split();
    let server = "10.0.0.1".parse().unwrap();
    let client = "10.0.0.2".parse().unwrap();
    let sent: Vec<u8> = (0..=255).collect();
    for piece in sent.chunks(16) {
        write.write_all(piece).await.unwrap();
    }
    let started_at = Instant::now();
    let mut received = BytesMut::new();
    while received.len() < 128 {
        read.read_buf(&mut received).await.unwrap();
    }
    network.partition(server, client);
    let waited = tokio::time::timeout(Duration::from_secs(60), read.read_buf(&mut received)).await;
    assert!(
        waited.is_err(),
        "a partitioned link must deliver no bytes and report no error"
    );
    network.heal(client, server);
    drop(write);
    while read.read_buf(&mut received).await.unwrap() > 0 {}
    assert_eq!(&received[..], &sent[..]);
    assert!(started_at.elapsed() >= Duration::from_secs(60));
}

#[tokio::test(start_paused = true)]
async fn cut_breaks_both_ends_and_dropped_listener_refuses() {
    let network = SimulatedNetwork::new(NetworkConditions::default(), 1);
    let (client_socket, server_socket) = pair(&network).await;
    let (read, _client_write) = client_socket.split();
    let (_server_read, write) = server_socket.split();
    network.break_connections("10.0.0.2".parse().unwrap());
    let mut received = BytesMut::new();
    assert_eq!(
        read.read_buf(&mut received).await.unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    assert!(write.write_all(b"x").await.is_err());
    let refused = network.connect(None, "10.0.0.1:80".parse().unwrap()).await;
    assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
}
