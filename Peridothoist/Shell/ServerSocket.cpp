#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ServerSocket.h>

#include <Peridothoist/Shell/SocketOptions.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstring>

namespace peridothoist::detail {

namespace {

struct SocketAddressStorage
{
  sockaddr_storage mStorage = {};
  socklen_t mSize = 0;

  sockaddr* Get() { return reinterpret_cast<sockaddr*>(&mStorage); }
};

std::optional<SocketAddressStorage>
ToSocketAddress(const std::string& aAddress, std::uint16_t aPort)
{
  SocketAddressStorage address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.mStorage);
  if (::inet_pton(AF_INET, aAddress.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aPort);
    address.mSize = sizeof(*v4);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.mStorage);
  if (::inet_pton(AF_INET6, aAddress.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aPort);
    address.mSize = sizeof(*v6);
    return address;
  }
  return std::nullopt;
}

std::string
IpOf(const sockaddr_storage& aStorage)
{
  const void* number = nullptr;
  if (aStorage.ss_family == AF_INET6) {
    number = &reinterpret_cast<const sockaddr_in6*>(&aStorage)->sin6_addr;
  } else {
    number = &reinterpret_cast<const sockaddr_in*>(&aStorage)->sin_addr;
  }
  std::array<char, INET6_ADDRSTRLEN> text = {};
  ::inet_ntop(aStorage.ss_family, number, text.data(), text.size());
  return text.data();
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;

Bio
ReadOnlyBio(const std::string& aText)
{
  return { BIO_new_mem_buf(aText.data(), static_cast<int>(aText.size())),
           &BIO_free };
}

/// Loads the certificate, those of its issuers, and the key.
bool
LoadCredentials(SSL_CTX* aContext, const HttpServerSettings& aSettings)
{
  const Bio certificates = ReadOnlyBio(aSettings.mCertificatePem);
  const std::unique_ptr<X509, decltype(&X509_free)> own(
    PEM_read_bio_X509(certificates.get(), nullptr, nullptr, nullptr),
    &X509_free);
  if (own == nullptr || SSL_CTX_use_certificate(aContext, own.get()) != 1) {
    return false;
  }
  while (X509* issuer =
           PEM_read_bio_X509(certificates.get(), nullptr, nullptr, nullptr)) {
    SSL_CTX_add_extra_chain_cert(aContext, issuer); // Takes it over.
  }
  const Bio keyText = ReadOnlyBio(aSettings.mPrivateKeyPem);
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
    PEM_read_bio_PrivateKey(keyText.get(), nullptr, nullptr, nullptr),
    &EVP_PKEY_free);
  return key != nullptr && SSL_CTX_use_PrivateKey(aContext, key.get()) == 1 &&
         SSL_CTX_check_private_key(aContext) == 1;
}

} // namespace

TlsContext
MakeTlsContext(const HttpServerSettings& aSettings, std::string* aReason)
{
  TlsContext context(nullptr, &SSL_CTX_free);
  if (aSettings.mCertificatePem.empty() || aSettings.mPrivateKeyPem.empty()) {
    return context;
  }
  context.reset(SSL_CTX_new(TLS_server_method()));
  if (context == nullptr || !LoadCredentials(context.get(), aSettings)) {
    *aReason = "the TLS certificate or its private key is not usable";
    context.reset();
  } else {
    SSL_CTX_set_mode(context.get(),
                     SSL_MODE_ENABLE_PARTIAL_WRITE |
                       SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  }
  ERR_clear_error();
  return context;
}

int
OpenListener(const HttpServerSettings& aSettings, std::string* aReason)
{
  auto address = ToSocketAddress(aSettings.mAddress, aSettings.mPort);
  if (!address) {
    *aReason = fmt::format("invalid IP address: {}", aSettings.mAddress);
    return -1;
  }
  const int listener = ::socket(
    address->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const bool isListening =
    listener >= 0 && ::bind(listener, address->Get(), address->mSize) == 0 &&
    ::listen(listener, SOMAXCONN) == 0;
  if (!isListening) {
    *aReason = fmt::format("cannot listen on {}:{}: {}",
                           aSettings.mAddress,
                           aSettings.mPort,
                           std::strerror(errno));
    ::close(listener);
    return -1;
  }
  return listener;
}

std::uint16_t
PortOf(int aListener)
{
  SocketAddressStorage address;
  address.mSize = sizeof(address.mStorage);
  ::getsockname(aListener, address.Get(), &address.mSize);
  return address.mStorage.ss_family == AF_INET6
           ? ntohs(
               reinterpret_cast<sockaddr_in6*>(&address.mStorage)->sin6_port)
           : ntohs(reinterpret_cast<sockaddr_in*>(&address.mStorage)->sin_port);
}

int
AcceptConnection(int aListener, std::string& aPeer)
{
  SocketAddressStorage address;
  address.mSize = sizeof(address.mStorage);
  const int descriptor = ::accept4(
    aListener, address.Get(), &address.mSize, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor >= 0) {
    aPeer = IpOf(address.mStorage);
  }
  return descriptor;
}

ServerSocket::ServerSocket(int aDescriptor, SSL_CTX* aTls)
  : mDescriptor(aDescriptor)
  , mTls(aTls == nullptr ? nullptr : SSL_new(aTls), &SSL_free)
{
  EnableKeepAlive(aDescriptor);
  LimitSendBuffer(aDescriptor);
  LimitReceiveBuffer(aDescriptor);
  const int enabled = 1;
  ::setsockopt(
    aDescriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  if (mTls != nullptr) {
    SSL_set_fd(mTls.get(), aDescriptor);
    SSL_set_accept_state(mTls.get());
  }
}

ServerSocket::~ServerSocket()
{
  ::close(mDescriptor);
}

/// Returns the result of an operation of the TLS library.
Transfer
ServerSocket::ToTransfer(int aResult)
{
  if (aResult > 0) {
    return { TransferEnd::Done, static_cast<std::size_t>(aResult) };
  }
  const int error = SSL_get_error(mTls.get(), aResult);
  const bool isBlocked =
    error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
  return { isBlocked ? TransferEnd::WouldBlock : TransferEnd::Closed, 0 };
}

Transfer
ServerSocket::Read(char* aBuffer, std::size_t aSize)
{
  if (mTls != nullptr) {
    ERR_clear_error();
    const int n =
      SSL_read(mTls.get(),
               aBuffer,
               static_cast<int>(std::min<std::size_t>(aSize, INT_MAX)));
    mReadNeedsWrite =
      n <= 0 && SSL_get_error(mTls.get(), n) == SSL_ERROR_WANT_WRITE;
    return ToTransfer(n);
  }
  const ssize_t n = ::recv(mDescriptor, aBuffer, aSize, 0);
  if (n > 0) {
    return { TransferEnd::Done, static_cast<std::size_t>(n) };
  }
  const bool isBlocked = n < 0 && WouldBlock();
  return { isBlocked ? TransferEnd::WouldBlock : TransferEnd::Closed, 0 };
}

Transfer
ServerSocket::Write(std::string_view aData)
{
  if (mTls != nullptr) {
    ERR_clear_error();
    return ToTransfer(SSL_write(
      mTls.get(),
      aData.data(),
      static_cast<int>(std::min<std::size_t>(aData.size(), INT_MAX))));
  }
  const ssize_t n =
    ::send(mDescriptor, aData.data(), aData.size(), MSG_NOSIGNAL);
  if (n >= 0) {
    return { TransferEnd::Done, static_cast<std::size_t>(n) };
  }
  return { WouldBlock() ? TransferEnd::WouldBlock : TransferEnd::Closed, 0 };
}

bool
ServerSocket::HasPendingInput() const
{
  return mTls != nullptr && SSL_pending(mTls.get()) > 0;
}

void
ServerSocket::StopSending()
{
  if (mTls != nullptr) {
    ERR_clear_error();
    SSL_shutdown(mTls.get());
  }
  ::shutdown(mDescriptor, SHUT_WR);
}

void
ServerSocket::ResetOnClose() const
{
  const linger option = { 1, 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace peridothoist::detail
