//! Quotas of client networks: which addresses belong to a network, and which prefixes are valid.
use pointspindle_config::{parse, ConfigErrors, NetworkQuota};

fn quotas(prefix: &str) -> Result<Vec<NetworkQuota>, ConfigErrors> {
    let text = format!(
        "[dispatcher]\nzone = a\n[class page]\n[listen]\nhttp = 127.0.0.1:0\n[network n]\nprefix = {prefix}\n"
    );
    parse("f.ini", &text).map(|settings| settings.listen.network_quotas)
}

#[test]
fn network_contains_addresses_with_its_leading_bits() {
    let contains = |prefix: &str, address: &str| {
        let quotas = quotas(prefix).unwrap_or_else(|error| panic!("{error}"));
        quotas[0].contains(address.parse().unwrap())
    };
    assert!(contains("10.20.0.0/16", "10.20.255.1"));
    assert!(contains("10.20.0.0/16", "::ffff:10.20.0.9"));
    assert!(!contains("10.20.0.0/16", "10.21.0.1"));
    assert!(contains("2001:db8::/32", "2001:db8:1::1"));
    assert!(!contains("2001:db8::/32", "2001:db9::1"));
    assert!(contains("0.0.0.0/0", "192.0.2.1"));
    assert!(!contains("0.0.0.0/0", "2001:db8::1"));
}

#[test]
fn invalid_network_prefix_is_rejected() {
    for invalid in ["10.20.0.0", "10.20.0.0/33", "::/129", "10.20/16"] {
        let errors = quotas(invalid).expect_err(invalid).to_string();
        assert!(errors.contains("network n.prefix"), "{errors}");
    }
}
