use super::*;

#[test]
fn each_error_concerns_a_connection_the_process_or_the_machine() {
    let of = |number| AcceptFailure::of(&Error::from_raw_os_error(number));
    for number in [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
        libc::EPROTO,
    ] {
        assert_eq!(of(number), AcceptFailure::Connection, "{number}");
    }
    assert_eq!(of(libc::EMFILE), AcceptFailure::Descriptors);
    for number in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert_eq!(of(number), AcceptFailure::Shortage, "{number}");
    }
    assert_eq!(
        AcceptFailure::of(&Error::other("no number")),
        AcceptFailure::Shortage
    );
}
