/// Starts a libmicrohttpd daemon with the server's limits.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// What the daemon calls; each gets mContext first.
struct HttpDaemonCallbacks
{
  void* mContext = nullptr;
  MHD_AccessHandlerCallback mAccess = nullptr;
  void* (*mRequestLine)(void*, const char*, MHD_Connection*) = nullptr;
  MHD_RequestCompletedCallback mCompleted = nullptr;
  MHD_NotifyConnectionCallback mConnection = nullptr;
};

/// Listens and starts a daemon without threads, driven through its epoll
/// descriptor; null with aReason when it can't. The settings' PEMs must
/// outlive it.
MHD_Daemon*
StartHttpDaemon(const HttpServerSettings& aSettings,
                const HttpDaemonCallbacks& aCallbacks,
                std::string* aReason);

} // namespace peridothoist::detail
