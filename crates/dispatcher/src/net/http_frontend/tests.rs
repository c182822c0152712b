/// What a hundred thousand idle connections cost is this, a task's head, a socket's registration and a seat. Guards
/// against a state of the active connection (a head's time-out, an answer) finding its way into the idle one.
#[tokio::test]
async fn an_idle_connection_is_its_socket_and_little_more() {
    let (door, socket, seat, _stop) = super::super::tests::arrival("http").await;
    let size = std::mem::size_of_val(&super::serve(door, socket, seat));
    println!("{size} bytes");
    assert!(size <= 1024, "{size} bytes");
    let client = std::mem::size_of::<super::HttpClient>();
    assert!(client <= 320, "{client} bytes");
}
