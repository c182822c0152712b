use super::*;

async fn pair(net: &SimulatedNetwork) -> (Socket, Socket) {
    let at: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let mut listener = net.listen(at).unwrap();
    let from = "10.0.0.2".parse().unwrap();
    let (here, there) = tokio::join!(net.connect(Some(from), at), listener.accept());
    (here.unwrap(), there.unwrap().0)
}

/// Loss makes pieces late and never changes their order; a parted way is silent and loses nothing.
#[tokio::test(start_paused = true)]
async fn bytes_come_late_in_order_and_after_a_parting() {
    let weather = NetworkConditions {
        loss: 0.3,
        ..NetworkConditions::default()
    };
    let net = SimulatedNetwork::new(weather, 7);
    let (here, there) = pair(&net).await;
    let ((_keep, write), (read, _back)) = (here.split(), there.split());
    let (a, b) = ("10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap());
    let sent: Vec<u8> = (0..=255).collect();
    for piece in sent.chunks(16) {
        write.write_all(piece).await.unwrap();
    }
    let began = Instant::now();
    let mut got = BytesMut::new();
    while got.len() < 128 {
        read.read_buf(&mut got).await.unwrap();
    }
    net.partition(a, b);
    let waited = tokio::time::timeout(Duration::from_secs(60), read.read_buf(&mut got)).await;
    assert!(
        waited.is_err(),
        "a parted way delivers nothing and tells nobody"
    );
    net.heal(b, a);
    drop(write);
    while read.read_buf(&mut got).await.unwrap() > 0 {}
    assert_eq!(&got[..], &sent[..]);
    assert!(began.elapsed() >= Duration::from_secs(60));
}

#[tokio::test(start_paused = true)]
async fn a_cut_is_seen_by_both_ends_and_nobody_listens_after_the_listener() {
    let net = SimulatedNetwork::new(NetworkConditions::default(), 1);
    let (here, there) = pair(&net).await;
    let ((read, _w), (_r, write)) = (here.split(), there.split());
    net.cut("10.0.0.2".parse().unwrap());
    let mut nothing = BytesMut::new();
    assert_eq!(
        read.read_buf(&mut nothing).await.unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    assert!(write.write_all(b"x").await.is_err());
    let refused = net.connect(None, "10.0.0.1:80".parse().unwrap()).await;
    assert_eq!(refused.unwrap_err().kind(), ErrorKind::ConnectionRefused);
}
