use crate::net::test_support::accepted_connection;

/// Limits the size of the future of an idle connection, on which, besides the task header, the registration of the socket
/// and the permit, the memory of a hundred thousand idle connections depends. Guards against state that only an active
/// connection needs, such as the timeout of a head or a response, becoming part of the idle state.
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
