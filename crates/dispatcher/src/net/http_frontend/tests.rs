use crate::net::test_support::accepted_connection;

/// What a hundred thousand idle connections cost is this, a task's header, a socket's registration and a permit. Guards
/// against state of the active connection (a head's time-out, a response) finding its way into the idle one.
#[tokio::test]
async fn idle_http_connection_holds_little_beyond_its_socket() {
    let accepted = accepted_connection("http").await;
    let serving = super::serve(accepted.context, accepted.socket, accepted.permit);
    let size = std::mem::size_of_val(&serving);
    println!("{size} bytes");
    assert!(size <= 1024, "{size} bytes");
    let client = std::mem::size_of::<super::client::HttpClient>();
    assert!(client <= 320, "{client} bytes");
}
