//! Reads one object and reports how the call ended.
//!
//! usage: `cargo run -p pointspindle-client --example get -- 127.0.0.1:8081 /video/12/a.mp4 lesson-video`
use pointspindle_client::{Client, Outcome, Request};
use std::error::Error;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(6);

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
    let response = client.fetch(Request::get(object, class, DEADLINE)).await?;
    match response.outcome {
        Outcome::Served => println!("{} bytes", response.body.len()),
        outcome => println!("{outcome:?}"),
    }
    if let Some(error) = client.last_connect_error() {
        println!(
            "last connection error: {error}; source: {:?}",
            error.source()
        );
    }
    Ok(())
}
