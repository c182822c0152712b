//! Tests of [`super`].
use super::*;

#[tokio::test(start_paused = true)]
async fn slow_reader_delays_writer_until_timeout_then_loses_stream() {
    let stream = Arc::new(FillStream::default());
    let (fast, slow) = (stream.reader().unwrap(), stream.reader().unwrap());
    let piece = Bytes::from(vec![7; MAX_UNREAD_BYTES / 2]);
    let reading = tokio::spawn(async move {
        let mut count = 0;
        while let FillStreamPart::Data(_) = fast.next().await {
            count += 1;
        }
        count
    });
    let started_at = tokio::time::Instant::now();
    for _ in 0..4 {
        stream.data(piece.clone(), Duration::from_secs(5)).await;
    }
    assert_eq!(
        started_at.elapsed(),
        Duration::from_secs(5),
        "the writer waits once for the slow reader"
    );
    assert!(
        stream.reader().is_none(),
        "the beginning of the body is no longer buffered"
    );
    stream.end(FillEnd::Complete);
    assert_eq!(reading.await.unwrap(), 4);
    assert_eq!(slow.next().await, FillStreamPart::TooSlow);
}
