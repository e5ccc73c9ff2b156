/// The socket of one caller's connection, plain or with TLS, and the socket on
/// which a server listens. None of them blocks.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <openssl/ssl.h>

namespace peridothoist::detail {

/// How an attempt to read or write ended.
enum class TransferEnd
{
  Done,       ///< Some bytes were transferred.
  WouldBlock, ///< None could be, at present.
  Closed      ///< The connection has ended.
};

/// The result of an attempt to read or write.
struct Transfer
{
  TransferEnd mEnd = TransferEnd::Closed;
  std::size_t mBytes = 0;
};

using TlsContext = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;

/// Returns the TLS context of a server; null if the settings have none. Sets
/// aReason, and returns null, if the credentials are not usable.
TlsContext
MakeTlsContext(const HttpServerSettings& aSettings, std::string* aReason);

/// Opens the socket on which a server listens. Returns its descriptor, or sets
/// aReason and returns a negative number.
int
OpenListener(const HttpServerSettings& aSettings, std::string* aReason);

/// Returns the port of a listening socket.
std::uint16_t
PortOf(int aListener);

/// Accepts a connection. Returns its descriptor, or a negative number if there
/// is none. aPeer: receives the IP address of the caller.
int
AcceptConnection(int aListener, std::string& aPeer);

/// One caller's socket; owns the descriptor.
class ServerSocket
{
public:
  /// aTls: null for a plain connection; not owned.
  ServerSocket(int aDescriptor, SSL_CTX* aTls);
  ~ServerSocket();
  ServerSocket(const ServerSocket&) = delete;
  ServerSocket& operator=(const ServerSocket&) = delete;

  int Descriptor() const { return mDescriptor; }

  Transfer Read(char* aBuffer, std::size_t aSize);
  Transfer Write(std::string_view aData);

  /// Returns whether the last Read() can go on only once bytes can be written,
  /// as in a handshake.
  bool ReadNeedsWrite() const { return mReadNeedsWrite; }

  /// Returns whether bytes have been received that lead to no further event.
  bool HasPendingInput() const;

  /// Tells the caller that nothing more will be sent.
  void StopSending();

  /// Makes the end of the connection a reset.
  void ResetOnClose() const;

private:
  Transfer ToTransfer(int aResult);

  int mDescriptor;
  std::unique_ptr<SSL, decltype(&SSL_free)> mTls;
  bool mReadNeedsWrite = false;
};

} // namespace peridothoist::detail
