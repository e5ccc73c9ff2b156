/// Creation of a libmicrohttpd daemon from the settings of an HTTP server.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpDaemon.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>

namespace peridothoist::detail {

namespace {

/// Memory of a connection in addition to the request headers. It holds the
/// index of the headers, the head of the response and one block of its body.
constexpr std::size_t kConnectionSpareBytes = 6 * 1024;

/// Returns the socket address of an IP address and port, or nullopt when
/// aAddress is not a valid IP address.
std::optional<sockaddr_storage>
ToSocketAddress(const std::string& aAddress, std::uint16_t aPort)
{
  sockaddr_storage storage = {};
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  if (::inet_pton(AF_INET, aAddress.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aPort);
    return storage;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (::inet_pton(AF_INET6, aAddress.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aPort);
    return storage;
  }
  return std::nullopt;
}

void
SetReason(std::string* aReason, std::string aText)
{
  if (aReason != nullptr) {
    *aReason = std::move(aText);
  }
}

} // namespace

MHD_Daemon*
StartHttpDaemon(const HttpServerSettings& aSettings,
                const HttpDaemonCallbacks& aCallbacks,
                std::string* aReason)
{
  const bool useTls =
    !aSettings.mCertificatePem.empty() && !aSettings.mPrivateKeyPem.empty();
  if (useTls && MHD_is_feature_supported(MHD_FEATURE_TLS) != MHD_YES) {
    SetReason(aReason, "libmicrohttpd was built without TLS support");
    return nullptr;
  }
  const auto address = ToSocketAddress(aSettings.mAddress, aSettings.mPort);
  if (!address) {
    SetReason(aReason,
              fmt::format("invalid IP address: {}", aSettings.mAddress));
    return nullptr;
  }
  unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  if (address->ss_family == AF_INET6) {
    flags |= MHD_USE_IPv6;
  }
  std::vector<MHD_OptionItem> options = {
    { MHD_OPTION_SOCK_ADDR,
      0,
      const_cast<sockaddr_storage*>(
        &*address) }, // libmicrohttpd only reads it.
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(aSettings.mMaxHeaderBytes +
                                 kConnectionSpareBytes),
      nullptr },
    { MHD_OPTION_CONNECTION_LIMIT,
      static_cast<std::intptr_t>(aSettings.mMaxConnections),
      nullptr },
    { MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      static_cast<std::intptr_t>(aSettings.mMaxConnectionsPerAddress),
      nullptr },
    { MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<std::intptr_t>(
        std::chrono::ceil<std::chrono::seconds>(aSettings.mIdleTimeout)
          .count()),
      nullptr },
    { MHD_OPTION_URI_LOG_CALLBACK,
      reinterpret_cast<std::intptr_t>(aCallbacks.mRequestLine),
      aCallbacks.mContext },
    { MHD_OPTION_NOTIFY_COMPLETED,
      reinterpret_cast<std::intptr_t>(aCallbacks.mCompleted),
      aCallbacks.mContext },
    { MHD_OPTION_NOTIFY_CONNECTION,
      reinterpret_cast<std::intptr_t>(aCallbacks.mConnection),
      aCallbacks.mContext },
  };
  if (useTls) {
    flags |= MHD_USE_TLS;
    options.push_back({ MHD_OPTION_HTTPS_MEM_CERT,
                        0,
                        const_cast<char*>(aSettings.mCertificatePem.c_str()) });
    options.push_back({ MHD_OPTION_HTTPS_MEM_KEY,
                        0,
                        const_cast<char*>(aSettings.mPrivateKeyPem.c_str()) });
  }
  options.push_back({ MHD_OPTION_END, 0, nullptr });

  errno = 0;
  MHD_Daemon* daemon = MHD_start_daemon(flags,
                                        aSettings.mPort,
                                        nullptr,
                                        nullptr,
                                        aCallbacks.mAccess,
                                        aCallbacks.mContext,
                                        MHD_OPTION_ARRAY,
                                        options.data(),
                                        MHD_OPTION_END);
  if (daemon == nullptr) {
    SetReason(aReason,
              fmt::format("cannot listen on {}:{}: {}",
                          aSettings.mAddress,
                          aSettings.mPort,
                          errno != 0 ? std::strerror(errno)
                                     : "libmicrohttpd failed to start"));
    return nullptr;
  }
  return daemon;
}

} // namespace peridothoist::detail
