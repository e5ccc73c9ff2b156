/// One caller's connection as the HTTP server keeps it, and the limits on how
/// long a caller may take to send a request.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// What a connection is doing.
enum class ConnectionPhase
{
  Idle,     ///< Between requests, or a part of a request line came.
  Reading,  ///< The request line came, the request isn't whole.
  Answering ///< The request is whole, its answer isn't.
};

/// One caller's connection.
class ServerConnection
{
public:
  ServerConnection(MHD_Connection* aHandle, TimePoint aNow);

  /// Moves to another phase.
  void Enter(ConnectionPhase aPhase, TimePoint aNow);

  /// Whether bytes of a request came that libmicrohttpd made nothing of yet.
  bool HasPartOfRequest() const;

  /// Whether the caller took longer than it may to send a request.
  bool IsTooSlow(const HttpServerSettings& aSettings, TimePoint aNow);

  /// Closes both directions; libmicrohttpd sees that and ends it.
  void ShutDown() const;

  MHD_Connection* Handle() const { return mHandle; }
  int Descriptor() const { return mDescriptor; }
  ConnectionPhase Phase() const { return mPhase; }

  // The request that is being read or answered.
  std::string mTarget; ///< Path and query as they were sent.
  std::shared_ptr<ServerExchange> mExchange;
  std::uint64_t mBodyBytes = 0; ///< Received so far, kept or not.
  bool mBodyTooLarge = false;

private:
  std::uint64_t BytesReceived() const;

  MHD_Connection* mHandle;
  int mDescriptor;
  ConnectionPhase mPhase = ConnectionPhase::Idle;
  TimePoint mSince;                   ///< When mPhase was entered.
  std::uint64_t mReceivedBefore = 0;  ///< Bytes of the requests before.
  std::optional<TimePoint> mPartSeen; ///< Idle: first saw part of a request.
};

} // namespace peridothoist::detail
