//! Tests of [`super`].
use super::*;

#[tokio::test(start_paused = true)]
async fn slow_reader_delays_writer_until_timeout_then_loses_stream() {
    let flow = Arc::new(FillStream::default());
    let (quick, slow) = (flow.reader().unwrap(), flow.reader().unwrap());
    let piece = Bytes::from(vec![7; MAX_UNREAD_BYTES / 2]);
    let reading = tokio::spawn(async move {
        let mut count = 0;
        while let FillStreamPart::Data(_) = quick.next().await {
            count += 1;
        }
        count
    });
    let began = tokio::time::Instant::now();
    for _ in 0..4 {
        flow.data(piece.clone(), Duration::from_secs(5)).await;
    }
    assert_eq!(
        began.elapsed(),
        Duration::from_secs(5),
        "one wait, then it is let go"
    );
    assert!(flow.reader().is_none(), "its beginning has gone by");
    flow.end(FillEnd::Complete);
    assert_eq!(reading.await.unwrap(), 4);
    assert_eq!(slow.next().await, FillStreamPart::TooSlow);
}
