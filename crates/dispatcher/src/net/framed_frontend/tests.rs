use crate::net::test_support::accepted_connection;

/// An idle connection must not hold the memory that a request needs, as for the HTTP listener.
#[tokio::test]
async fn idle_framed_connection_holds_no_request_state() {
    let accepted = accepted_connection("framed").await;
    let serving = super::serve(accepted.context, accepted.socket, accepted.permit);
    let size = std::mem::size_of_val(&serving);
    println!("{size} bytes");
    assert!(size <= 2048, "{size} bytes");
}
