//! Sends a request with an idempotency key until it has run; repeats within the key's window are discarded.
//!
//! usage: `cargo run -p pointspindle-client --example idempotency_key -- 127.0.0.1:8081 /orders/17 order`
use pointspindle_client::{Client, Outcome, Request};
use std::error::Error;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(2);
/// Time for which the endpoints of the class discard repeats, as configured for them (`key_window_ms`).
const KEY_WINDOW: Duration = Duration::from_secs(4);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let mut next = |name: &str| {
        arguments
            .next()
            .ok_or_else(|| format!("missing argument: {name}"))
    };
    let dispatcher = next("address and port of the dispatcher")?.parse()?;
    let object = next("path of the object")?;
    let class = next("request class")?;

    let client = Client::builder().framed([dispatcher]).build()?;
    let key = format!("example-{}", std::process::id());
    let request = Request::get(object, class, DEADLINE).with_idempotency_key(key, KEY_WINDOW);
    loop {
        match client.fetch(request.clone()).await?.outcome {
            Outcome::Served => break println!("completed once"),
            // No work was done, so the same request may be sent again.
            Outcome::Rejected { retry_after } => {
                tokio::time::sleep(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)).await;
            }
            // The client has retried for as long as the key's window allows; a further request could do the work twice.
            Outcome::Failed { may_have_run } => {
                break println!("failed; may have run: {may_have_run}");
            }
        }
    }
    Ok(())
}
