use super::{Body, BodyChecker, CheckedBody};

fn check(bytes: &[u8], chunk_size: usize) -> CheckedBody {
    let mut checker = BodyChecker::new(7, 2);
    bytes
        .chunks(chunk_size)
        .for_each(|chunk| checker.update(chunk));
    checker.finish()
}

#[test]
fn body_checker_accepts_matching_bytes_and_detects_wrong_ones_in_chunks_of_any_size() {
    let body = Body {
        number: 7,
        part: 2,
        version: 12,
    };
    let complete = body.bytes(0, 1_000);
    for from in [0, 1, 63, 64, 65, 700] {
        assert_eq!(
            body.bytes(from as u64, 100)[..],
            complete[from..from + 100],
            "from {from}"
        );
    }
    for chunk_size in [1, 63, 64, 999] {
        let expected = CheckedBody {
            bytes: 1_000,
            version: Some(12),
        };
        assert_eq!(
            check(&complete, chunk_size),
            expected,
            "chunks of {chunk_size}"
        );
    }
    let mut wrong = complete.to_vec();
    wrong[640] ^= 1;
    let rejected = CheckedBody {
        bytes: 1_000,
        version: None,
    };
    assert_eq!(check(&wrong, 100), rejected);
    let other_object = Body { number: 8, ..body };
    assert_eq!(other_object.bytes(0, 64).len(), 64);
    assert_eq!(
        check(&other_object.bytes(0, 200), 50).version,
        None,
        "bytes of another object must not match"
    );
}
