//! Certificates and keys for tests.

/// A certificate authority of one test: its own certificate and key.
pub struct Authority(pub rcgen::Certificate, pub rcgen::KeyPair);

impl Authority {
    pub fn new() -> Authority {
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut params =
            rcgen::CertificateParams::new(Vec::new()).expect("parameters without names");
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        Authority(params.self_signed(&key).expect("signed"), key)
    }

    /// Issues a certificate for `name`; returns the certificate and its key in PEM form.
    pub fn issue(&self, name: &str) -> (String, String) {
        let key = rcgen::KeyPair::generate().expect("a key");
        let params = rcgen::CertificateParams::new(vec![name.to_string()]).expect("a valid name");
        (
            params
                .signed_by(&key, &self.0, &self.1)
                .expect("signed")
                .pem(),
            key.serialize_pem(),
        )
    }
}
