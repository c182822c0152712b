//! Sixteen times the cache hosts, near and elsewhere: what one dispatcher needs for the same requests.
use crate::crowd::answer_pulls;
use crate::stage::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::net::TcpListener;

const REQUESTS: u64 = 3_000;
const NEAR: usize = 12;
const ELSEWHERE: usize = 190;
const TIMES: usize = 16;

/// What a dispatcher needed.
#[derive(Debug)]
struct Needs {
    cpu_us_a_request: u64,
    descriptors: usize,
    connections: usize,
    peak_kb: u64,
    served: u64,
}

async fn needs(near: usize, elsewhere: usize) -> Needs {
    let (board, made) = (board().await, Arc::new(AtomicUsize::new(0)));
    let mut hosts = Vec::new();
    for n in 0..near {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        hosts.push(listed(
            &format!("s-{n}"),
            listener.local_addr().unwrap(),
            "box",
            "Ready",
        ));
        let made = made.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                made.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(answer_pulls(socket));
            }
        });
    }
    let nowhere = (own_ip(), 9).into();
    for n in 0..elsewhere {
        let far = listed(&format!("f-{n}"), nowhere, "box", "Ready");
        hosts.push(far.replace("\"site\":\"edge\"", "\"site\":\"hub\""));
    }
    let room = [
        ("\"sockets\":256", "\"sockets\":2048"),
        ("\"memory_mb\":32", "\"memory_mb\":128"),
    ];
    let dispatcher = Dispatcher::start_with(board.at, &hosts, &room).await;
    let before = dispatcher.cpu_us();
    let mut client = Client::connect(dispatcher.at).await;
    let (mut served, mut descriptors) = (0, 0);
    for n in 0..REQUESTS {
        let row = format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(n + 1));
        client
            .ask(1, "/ops/page", &[("HTTP_X_ROW", &row)], b"")
            .await;
        served += u64::from(client.answer(1).await.status == 200);
        if n % 100 == 0 {
            descriptors = descriptors.max(dispatcher.descriptors());
        }
    }
    Needs {
        cpu_us_a_request: (dispatcher.cpu_us() - before) / REQUESTS,
        descriptors,
        connections: made.load(Ordering::SeqCst),
        peak_kb: dispatcher.peak_kb(),
        served,
    }
}

/// The page's bounds on what grows. Processor time is printed and not judged: it is the machine's as well.
#[tokio::test]
async fn sixteen_times_the_hosts_cost_no_more_than_the_page_allows() {
    let usual = needs(NEAR, ELSEWHERE).await;
    let many = needs(NEAR * TIMES, ELSEWHERE * TIMES).await;
    println!(
        "processor a request: {} us, then {} us",
        usual.cpu_us_a_request, many.cpu_us_a_request
    );
    println!("{usual:?}\n{many:?}");
    let thousands = ((NEAR + ELSEWHERE) * TIMES) as f64 / 1_000.0;
    assert!(many.served as f64 >= 0.85 * usual.served as f64, "{many:?}");
    let peak = 1.5 * usual.peak_kb as f64 + (8.0 + 4.0 * thousands) * 1_024.0;
    assert!((many.peak_kb as f64) <= peak, "{peak} kB allowed: {many:?}");
    let connections = 2.5 * usual.connections as f64 + 40.0;
    assert!(
        many.connections as f64 <= connections,
        "{connections} connections allowed: {many:?}"
    );
    assert!(
        many.descriptors <= 2 * usual.descriptors + 40,
        "beside {usual:?}: {many:?}"
    );
}
