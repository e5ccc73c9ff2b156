/// Certificates for tests, generated with OpenSSL in each run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

#include <boost/test/unit_test.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace peridothoist::test {

/// A certificate authority (CA) for tests.
class TestCertificateAuthority
{
public:
  TestCertificateAuthority()
    : mKey(EVP_EC_gen("P-256"))
    , mCertificate(MakeCertificate(mKey, mKey, nullptr, "test authority"))
  {
  }
  ~TestCertificateAuthority()
  {
    X509_free(mCertificate);
    EVP_PKEY_free(mKey);
  }
  TestCertificateAuthority(const TestCertificateAuthority&) = delete;
  TestCertificateAuthority& operator=(const TestCertificateAuthority&) = delete;

  /// Returns a new key, its certificate for aName and the CA certificate, all
  /// as PEM.
  PeerCredentials Issue(const char* aName = "peridothoist-peer") const
  {
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = MakeCertificate(key, mKey, mCertificate, aName);
    PeerCredentials credentials;
    credentials.mCertificatePem = ToPem(certificate);
    credentials.mCaCertificatePem = ToPem(mCertificate);
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(bio, key, nullptr, nullptr, 0, nullptr, nullptr);
    credentials.mPrivateKeyPem = TakeText(bio);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return credentials;
  }

private:
  static std::string TakeText(BIO* aBio)
  {
    char* data = nullptr;
    const auto size = BIO_get_mem_data(aBio, &data);
    std::string text(data, static_cast<std::size_t>(size));
    BIO_free(aBio);
    return text;
  }

  static std::string ToPem(X509* aCertificate)
  {
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(bio, aCertificate);
    return TakeText(bio);
  }

  static void AddExtension(X509* aCertificate,
                           int aKind,
                           const std::string& aValue)
  {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, aCertificate, aCertificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, &context, aKind, aValue.c_str());
    BOOST_REQUIRE(extension != nullptr);
    X509_add_ext(aCertificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  /// Creates a certificate for aKey that aSigner signs. Without aIssuer it is a
  /// self-signed CA certificate.
  static X509* MakeCertificate(EVP_PKEY* aKey,
                               EVP_PKEY* aSigner,
                               X509* aIssuer,
                               const std::string& aName)
  {
    constexpr long kValiditySeconds = 3600;
    static long serial = 0;
    X509* certificate = X509_new();
    X509_set_version(certificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -kValiditySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), kValiditySeconds);
    X509_set_pubkey(certificate, aKey);
    X509_NAME_add_entry_by_txt(
      X509_get_subject_name(certificate),
      "CN",
      MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName.c_str()),
      -1,
      -1,
      0);
    X509_set_issuer_name(
      certificate, X509_get_subject_name(aIssuer ? aIssuer : certificate));
    if (aIssuer == nullptr) {
      AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    } else {
      AddExtension(
        certificate, NID_subject_alt_name, "DNS:" + aName + ",IP:127.0.0.1");
    }
    BOOST_REQUIRE(X509_sign(certificate, aSigner, EVP_sha256()) > 0);
    return certificate;
  }

  EVP_PKEY* mKey;
  X509* mCertificate;
};

} // namespace peridothoist::test
