//! Certificates for tests.

/// Signs certificates that are made for a test.
pub struct Authority(pub rcgen::Certificate, pub rcgen::KeyPair);

impl Authority {
    pub fn new() -> Authority {
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut told = rcgen::CertificateParams::new(Vec::new()).expect("no names");
        told.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        Authority(told.self_signed(&key).expect("signed"), key)
    }

    /// Certificate and key, as files have them.
    pub fn issue(&self, name: &str) -> (String, String) {
        let key = rcgen::KeyPair::generate().expect("a key");
        let told = rcgen::CertificateParams::new(vec![name.to_string()]).expect("a name");
        (
            told.signed_by(&key, &self.0, &self.1)
                .expect("signed")
                .pem(),
            key.serialize_pem(),
        )
    }
}
