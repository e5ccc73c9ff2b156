/// Certificates for tests, made afresh with OpenSSL in each run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

#include <boost/test/unit_test.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace peridothoist::test {

/// An authority that signs certificates for one name.
class TestAuthority
{
public:
  TestAuthority()
    : mKey(EVP_EC_gen("P-256"))
    , mCertificate(Make(mKey, mKey, nullptr, "test authority"))
  {
  }
  ~TestAuthority()
  {
    X509_free(mCertificate);
    EVP_PKEY_free(mKey);
  }
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  /// A new key, its certificate and this authority's, all as PEM.
  PeerCredentials Issue(const char* aName = "peridothoist-peer") const
  {
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = Make(key, mKey, mCertificate, aName);
    PeerCredentials credentials;
    credentials.mCertificatePem = ToPem(certificate);
    credentials.mAuthorityPem = ToPem(mCertificate);
    BIO* out = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
    credentials.mPrivateKeyPem = Drain(out);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return credentials;
  }

private:
  static std::string Drain(BIO* aOut)
  {
    char* data = nullptr;
    const auto n = BIO_get_mem_data(aOut, &data);
    std::string text(data, static_cast<std::size_t>(n));
    BIO_free(aOut);
    return text;
  }

  static std::string ToPem(X509* aCertificate)
  {
    BIO* out = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(out, aCertificate);
    return Drain(out);
  }

  static void AddExtension(X509* aTo, int aKind, const std::string& aValue)
  {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, aTo, aTo, nullptr, nullptr, 0);
    X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, &context, aKind, aValue.c_str());
    BOOST_REQUIRE(extension != nullptr);
    X509_add_ext(aTo, extension, -1);
    X509_EXTENSION_free(extension);
  }

  /// A certificate of aKey, signed by aSigner; by itself without aIssuer.
  static X509* Make(EVP_PKEY* aKey,
                    EVP_PKEY* aSigner,
                    X509* aIssuer,
                    const std::string& aName)
  {
    constexpr long kLifeSeconds = 3600;
    static long serial = 0;
    X509* made = X509_new();
    X509_set_version(made, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(made), -kLifeSeconds);
    X509_gmtime_adj(X509_getm_notAfter(made), kLifeSeconds);
    X509_set_pubkey(made, aKey);
    X509_NAME_add_entry_by_txt(
      X509_get_subject_name(made),
      "CN",
      MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName.c_str()),
      -1,
      -1,
      0);
    X509_set_issuer_name(made, X509_get_subject_name(aIssuer ? aIssuer : made));
    if (aIssuer == nullptr) {
      AddExtension(made, NID_basic_constraints, "critical,CA:TRUE");
    } else {
      AddExtension(
        made, NID_subject_alt_name, "DNS:" + aName + ",IP:127.0.0.1");
    }
    BOOST_REQUIRE(X509_sign(made, aSigner, EVP_sha256()) > 0);
    return made;
  }

  EVP_PKEY* mKey;
  X509* mCertificate;
};

} // namespace peridothoist::test
