use std::path::{Path, PathBuf};
use std::{fs, io};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, Snafu};

/// An error while creating certificates.
#[derive(Debug, Snafu)]
pub enum CertificatesError {
    /// The certificate could not be generated.
    #[snafu(display(
        "cannot create a certificate for {name}, use a DNS label as the name: {source}"
    ))]
    Generate {
        /// The subject of the certificate.
        name: String,
        /// The error of the certificate library.
        source: rcgen::Error,
    },
    /// A file could not be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
}

/// Writes `authority.crt`, and `NAME.ROLE.crt` and `NAME.ROLE.key` for each node and operator.
///
/// `ROLE` is `node` or `operator`. The subject alternative name is `NAME.ROLE.celeryhaven`.
pub fn write_certificates(
    folder: &Path,
    nodes: &[String],
    operators: &[String],
) -> Result<(), CertificatesError> {
    fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    let authority = generate_authority().context(GenerateSnafu { name: "authority" })?;
    write(folder, "authority.crt", &authority.pem())?;
    let nodes = nodes.iter().map(|name| (name, "node"));
    let operators = operators.iter().map(|name| (name, "operator"));
    for (name, role) in nodes.chain(operators) {
        let subject = format!("{name}.{role}");
        let (certificate, key) =
            generate_certificate(&subject, &authority).context(GenerateSnafu { name: &subject })?;
        write(folder, &format!("{subject}.crt"), &certificate)?;
        write(folder, &format!("{subject}.key"), &key)?;
    }
    Ok(())
}

fn generate_authority() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut params = CertificateParams::new(vec!["authority.celeryhaven".to_owned()])?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate()?)
}

fn generate_certificate(
    subject: &str,
    authority: &CertifiedIssuer<'static, KeyPair>,
) -> Result<(String, String), rcgen::Error> {
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![format!("{subject}.celeryhaven")])?;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let certificate = params.signed_by(&key, authority)?;
    Ok((certificate.pem(), key.serialize_pem()))
}

fn write(folder: &Path, name: &str, text: &str) -> Result<(), CertificatesError> {
    let path = folder.join(name);
    fs::write(&path, text).context(WriteSnafu { path })
}
