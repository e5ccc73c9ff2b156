/// Tunnels on plain sockets, registered with one epoll descriptor that the
/// reactor watches.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/TunnelServer.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Node/TunnelSockets.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/ReadySockets.h>
#include <Peridothoist/Shell/SocketOptions.h>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <unordered_map>

namespace peridothoist {

namespace {

using detail::OpenSocket;
using detail::ResetOnClose;
using detail::SendWithoutDelay;
using detail::SystemAddress;
using detail::ToSystemAddress;
using detail::WouldBlock;

constexpr int kListenBacklog = 512;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr const char* kEstablished =
  "HTTP/1.1 200 Connection established\r\n\r\n";

/// Returns the refusal of a CONNECT request.
std::string
MakeRefusal(const char* aStatus)
{
  return std::string("HTTP/1.1 ") + aStatus +
         "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

} // namespace

namespace detail {

std::optional<std::string>
ParseConnectTarget(std::string_view aHead)
{
  constexpr std::string_view kMethod = "CONNECT ";
  const std::string_view line = aHead.substr(0, aHead.find("\r\n"));
  const auto end = line.rfind(" HTTP/1.");
  const bool isConnect = line.substr(0, kMethod.size()) == kMethod &&
                         end != std::string_view::npos && end > kMethod.size();
  if (!isConnect) {
    return std::nullopt;
  }
  std::string target(line.substr(kMethod.size(), end - kMethod.size()));
  return ParseSocketAddress(target) ? std::optional(std::move(target))
                                    : std::nullopt;
}

} // namespace detail

/// The server with its tunnels.
struct TunnelServer::Impl : DescriptorListener
{
  /// What a tunnel waits for.
  enum class Phase
  {
    Request,  ///< The request that names the target.
    Connect,  ///< The connection to the target.
    Transfer, ///< Bytes from either side.
    Refused,  ///< The VM to close after a refusal.
  };

  /// One side of a tunnel.
  struct Side
  {
    int mSocket = -1;
    std::string mOutput; ///< Still to be sent to this side.
    bool mHasInputEnded = false;
    bool mIsShutDown = false;    ///< The end was sent to this side.
    bool mIsRegistered = false;  ///< With epoll, also if it waits for nothing.
    std::uint32_t mEvents = 0;   ///< That epoll reports.
    std::uint64_t mReceived = 0; ///< Bytes.
  };

  struct Tunnel
  {
    Phase mPhase = Phase::Request;
    Side mVm;
    Side mTarget;
    std::string mTargetAddress;
    TimePoint mStartedAt;
    Reactor::TimerId mTimer = 0;
    MemoryCharge mMemory; ///< Of the buffers of both directions.
  };

  /// Which socket of which tunnel a descriptor is.
  struct Registration
  {
    Tunnel* mTunnel = nullptr;
    bool mIsTarget = false;
  };

  Impl(const Settings& aSettings,
       Reactor* aReactor,
       TunnelServerListener* aListener)
    : mSettings(aSettings)
    , mReactor(aReactor)
    , mListener(aListener)
  {
  }
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(const SocketAddress& aListen);

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override;

  void Accept();
  void OnEvents(int aDescriptor, std::uint32_t aEvents);
  void ReadRequest(Tunnel& aTunnel);
  void Connect(Tunnel& aTunnel);
  void OnConnected(Tunnel& aTunnel);
  void Refuse(Tunnel& aTunnel, const char* aStatus);
  void RefuseUnreached(Tunnel& aTunnel);
  bool Transfer(Tunnel& aTunnel);
  bool Receive(Side& aFrom, Side& aTo) const;
  static bool Flush(Side& aSide);
  void UpdateEvents(Tunnel& aTunnel);
  void Register(Side& aSide, std::uint32_t aEvents) const;
  void ArmTimer(Tunnel& aTunnel, Duration aTime);
  void OnTimeout(Tunnel& aTunnel);
  void CloseSide(Side& aSide);
  void Close(Tunnel& aTunnel, const char* aReason);

  Settings mSettings;
  Reactor* mReactor;
  TunnelServerListener* mListener;
  int mListenSocket = -1;
  int mEpoll = -1;
  detail::ReadySockets mReadySockets;
  std::unordered_map<Tunnel*, std::unique_ptr<Tunnel>> mTunnels;
  std::unordered_map<int, Registration> mRegistrations; ///< By descriptor.
};

TunnelServer::Impl::~Impl()
{
  for (const auto& [key, tunnel] : mTunnels) {
    mReactor->CancelTimer(tunnel->mTimer);
    CloseSide(tunnel->mVm);
    CloseSide(tunnel->mTarget);
  }
  if (mEpoll >= 0) {
    mReactor->Unwatch(mEpoll);
    ::close(mEpoll);
  }
  if (mListenSocket >= 0) {
    ::close(mListenSocket);
  }
}

bool
TunnelServer::Impl::Start(const SocketAddress& aListen)
{
  const SystemAddress address = ToSystemAddress(aListen);
  mListenSocket = OpenSocket(address);
  mEpoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (mListenSocket < 0 || mEpoll < 0) {
    return false;
  }
  const int enabled = 1;
  ::setsockopt(
    mListenSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = mListenSocket;
  return ::bind(mListenSocket, address.Get(), address.mSize) == 0 &&
         ::listen(mListenSocket, kListenBacklog) == 0 &&
         ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, mListenSocket, &event) == 0 &&
         mReactor->Watch(mEpoll, this);
}

void
TunnelServer::Impl::OnReadable(int /*aDescriptor*/)
{
  mReadySockets.HandleEach(
    mEpoll, *mReactor, [this](const epoll_event& aEvent) {
      if (aEvent.data.fd == mListenSocket) {
        Accept();
      } else {
        OnEvents(aEvent.data.fd, aEvent.events);
      }
    });
}

void
TunnelServer::Impl::Accept()
{
  const int socket =
    ::accept4(mListenSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  ResetOnClose(socket);
  MemoryCharge memory(mSettings.mMemory);
  const std::size_t bytes = 2 * (mSettings.mMaxBufferedBytes + kReadBytes);
  const bool hasRoom = mTunnels.size() < mSettings.mMaxTunnels &&
                       memory.TryGrow(MemoryUse::Request, bytes);
  if (!hasRoom) {
    ::close(socket);
    return;
  }
  detail::EnableKeepAlive(socket);
  SendWithoutDelay(socket);
  auto tunnel = std::make_unique<Tunnel>();
  tunnel->mStartedAt = mReactor->Now();
  tunnel->mVm.mSocket = socket;
  tunnel->mMemory = std::move(memory);
  mRegistrations[socket] = { tunnel.get(), false };
  Register(tunnel->mVm, EPOLLIN);
  ArmTimer(*tunnel, mSettings.mRequestTimeout);
  mTunnels[tunnel.get()] = std::move(tunnel);
}

void
TunnelServer::Impl::OnEvents(int aDescriptor, std::uint32_t aEvents)
{
  const auto it = mRegistrations.find(aDescriptor);
  if (it == mRegistrations.end()) {
    return; // Closed by an event before this one.
  }
  Tunnel& tunnel = *it->second.mTunnel;
  const bool isTarget = it->second.mIsTarget;
  switch (tunnel.mPhase) {
    case Phase::Request:
      ReadRequest(tunnel);
      return;
    case Phase::Connect:
      if (isTarget) {
        OnConnected(tunnel);
      } else {
        Close(tunnel, "vm_closed");
      }
      return;
    case Phase::Refused:
      Close(tunnel, "refused");
      return;
    case Phase::Transfer:
      break;
  }
  // A VM that closes its side in both directions wants nothing more.
  const std::uint32_t ends = isTarget ? EPOLLERR : EPOLLERR | EPOLLHUP;
  if ((aEvents & ends) != 0) {
    Close(tunnel, isTarget ? "target_reset" : "vm_closed");
    return;
  }
  if (Transfer(tunnel)) {
    UpdateEvents(tunnel);
  }
}

/// Reads the request. Bytes after it can't be there yet: the VM sends them only
/// after the response.
void
TunnelServer::Impl::ReadRequest(Tunnel& aTunnel)
{
  std::array<char, kReadBytes> buf = {};
  const ssize_t n = ::recv(aTunnel.mVm.mSocket, buf.data(), buf.size(), 0);
  if (n < 0 && WouldBlock()) {
    return;
  }
  if (n <= 0) {
    Close(aTunnel, "vm_closed");
    return;
  }
  // Until it is complete, the request is kept where the response will be.
  std::string& head = aTunnel.mVm.mOutput;
  head.append(buf.data(), static_cast<std::size_t>(n));
  const auto end = head.find(kHeadEnd);
  if (end == std::string::npos && head.size() <= mSettings.mMaxRequestBytes) {
    return;
  }
  const auto target =
    end == std::string::npos ? std::nullopt : detail::ParseConnectTarget(head);
  head.clear();
  if (!target) {
    Refuse(aTunnel, "400 Bad Request");
    return;
  }
  aTunnel.mTargetAddress = *target;
  Connect(aTunnel);
}

void
TunnelServer::Impl::Connect(Tunnel& aTunnel)
{
  const TunnelVerdict verdict = mListener->CheckTarget(aTunnel.mTargetAddress);
  if (verdict != TunnelVerdict::Allowed) {
    Refuse(aTunnel,
           verdict == TunnelVerdict::NotAllowed ? "403 Forbidden"
                                                : "503 Service Unavailable");
    return;
  }
  const SystemAddress target =
    ToSystemAddress(*ParseSocketAddress(aTunnel.mTargetAddress));
  Side& side = aTunnel.mTarget;
  side.mSocket = OpenSocket(target);
  if (side.mSocket < 0) {
    Refuse(aTunnel, "503 Service Unavailable");
    return;
  }
  const SystemAddress local = ToSystemAddress({ mSettings.mLocalIp, 0 });
  const bool isBound = mSettings.mLocalIp.empty() ||
                       ::bind(side.mSocket, local.Get(), local.mSize) == 0;
  if (!isBound) {
    Refuse(aTunnel, "503 Service Unavailable");
    return;
  }
  detail::EnableKeepAlive(side.mSocket);
  SendWithoutDelay(side.mSocket);
  mRegistrations[side.mSocket] = { &aTunnel, true };
  aTunnel.mPhase = Phase::Connect;
  const int result = ::connect(side.mSocket, target.Get(), target.mSize);
  if (result != 0 && errno != EINPROGRESS) {
    RefuseUnreached(aTunnel);
    return;
  }
  Register(side, EPOLLOUT);
  ArmTimer(aTunnel, mSettings.mConnectTimeout);
}

void
TunnelServer::Impl::OnConnected(Tunnel& aTunnel)
{
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(aTunnel.mTarget.mSocket, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    RefuseUnreached(aTunnel);
    return;
  }
  mListener->OnTargetTried(aTunnel.mTargetAddress, true);
  mReactor->CancelTimer(aTunnel.mTimer);
  aTunnel.mTimer = 0;
  aTunnel.mPhase = Phase::Transfer;
  aTunnel.mVm.mOutput = kEstablished;
  if (Transfer(aTunnel)) {
    UpdateEvents(aTunnel);
  }
}

void
TunnelServer::Impl::RefuseUnreached(Tunnel& aTunnel)
{
  mListener->OnTargetTried(aTunnel.mTargetAddress, false);
  Refuse(aTunnel, "502 Bad Gateway");
}

void
TunnelServer::Impl::Refuse(Tunnel& aTunnel, const char* aStatus)
{
  Log::Info("tunnel_refused")
    .Field("target", aTunnel.mTargetAddress)
    .Field("status", aStatus);
  CloseSide(aTunnel.mTarget);
  aTunnel.mPhase = Phase::Refused;
  const std::string response = MakeRefusal(aStatus);
  ::send(aTunnel.mVm.mSocket, response.data(), response.size(), MSG_NOSIGNAL);
  ::shutdown(aTunnel.mVm.mSocket, SHUT_WR);
  Register(aTunnel.mVm, EPOLLIN);
  ArmTimer(aTunnel, mSettings.mCloseTimeout);
}

/// Moves bytes in both directions. Returns false if the tunnel is closed.
bool
TunnelServer::Impl::Transfer(Tunnel& aTunnel)
{
  Side& vm = aTunnel.mVm;
  Side& target = aTunnel.mTarget;
  const bool isVmSound = Receive(vm, target);
  const bool isTargetSound = Receive(target, vm);
  if (!isVmSound || !isTargetSound) {
    Close(aTunnel, isVmSound ? "target_reset" : "vm_reset");
    return false;
  }
  if (vm.mHasInputEnded) {
    // The VM closes when it has the response, or does not want it any more.
    Close(aTunnel, "vm_closed");
    return false;
  }
  if (!Flush(vm) || !Flush(target)) {
    Close(aTunnel, "send_failed");
    return false;
  }
  const bool isComplete =
    target.mHasInputEnded && vm.mOutput.empty() && !vm.mIsShutDown;
  if (isComplete) {
    vm.mIsShutDown = true;
    ::shutdown(vm.mSocket, SHUT_WR);
    ArmTimer(aTunnel, mSettings.mCloseTimeout);
  }
  return true;
}

/// Reads what fits into the output of the other side. Returns false if the
/// connection was reset.
bool
TunnelServer::Impl::Receive(Side& aFrom, Side& aTo) const
{
  std::array<char, kReadBytes> buf; // NOLINT: recv() fills it.
  while (!aFrom.mHasInputEnded &&
         aTo.mOutput.size() < mSettings.mMaxBufferedBytes) {
    const ssize_t n = ::recv(aFrom.mSocket, buf.data(), buf.size(), 0);
    if (n < 0) {
      return WouldBlock();
    }
    if (n == 0) {
      aFrom.mHasInputEnded = true;
      break;
    }
    aFrom.mReceived += static_cast<std::uint64_t>(n);
    aTo.mOutput.append(buf.data(), static_cast<std::size_t>(n));
    if (static_cast<std::size_t>(n) < buf.size()) {
      break; // More is reported by another event.
    }
  }
  return true;
}

/// Sends what the side takes. Returns false if its connection was reset.
bool
TunnelServer::Impl::Flush(Side& aSide)
{
  while (!aSide.mOutput.empty()) {
    const ssize_t n = ::send(
      aSide.mSocket, aSide.mOutput.data(), aSide.mOutput.size(), MSG_NOSIGNAL);
    if (n < 0) {
      return WouldBlock();
    }
    aSide.mOutput.erase(0, static_cast<std::size_t>(n));
  }
  return true;
}

void
TunnelServer::Impl::UpdateEvents(Tunnel& aTunnel)
{
  const auto eventsOf = [this](const Side& aSide, const Side& aOther) {
    const bool reads = !aSide.mHasInputEnded &&
                       aOther.mOutput.size() < mSettings.mMaxBufferedBytes;
    const std::uint32_t readEvents = reads ? EPOLLIN : 0U;
    const std::uint32_t writeEvents = aSide.mOutput.empty() ? 0U : EPOLLOUT;
    return readEvents | writeEvents;
  };
  Register(aTunnel.mVm, eventsOf(aTunnel.mVm, aTunnel.mTarget));
  Register(aTunnel.mTarget, eventsOf(aTunnel.mTarget, aTunnel.mVm));
}

void
TunnelServer::Impl::Register(Side& aSide, std::uint32_t aEvents) const
{
  // A closed upstream would be reported again and again.
  const bool isIgnored = aEvents == 0 && aSide.mHasInputEnded;
  epoll_event event = {};
  event.events = aEvents;
  event.data.fd = aSide.mSocket;
  if (!aSide.mIsRegistered && !isIgnored) {
    ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, aSide.mSocket, &event);
  } else if (aSide.mIsRegistered && isIgnored) {
    ::epoll_ctl(mEpoll, EPOLL_CTL_DEL, aSide.mSocket, nullptr);
  } else if (aSide.mEvents != aEvents) {
    ::epoll_ctl(mEpoll, EPOLL_CTL_MOD, aSide.mSocket, &event);
  }
  aSide.mIsRegistered = !isIgnored;
  aSide.mEvents = aEvents;
}

void
TunnelServer::Impl::ArmTimer(Tunnel& aTunnel, Duration aTime)
{
  mReactor->CancelTimer(aTunnel.mTimer);
  aTunnel.mTimer = mReactor->Schedule(aTime, [this, tunnel = &aTunnel] {
    tunnel->mTimer = 0;
    OnTimeout(*tunnel);
  });
}

void
TunnelServer::Impl::OnTimeout(Tunnel& aTunnel)
{
  if (aTunnel.mPhase == Phase::Connect) {
    RefuseUnreached(aTunnel);
  } else {
    Close(aTunnel, "timed_out");
  }
}

void
TunnelServer::Impl::CloseSide(Side& aSide)
{
  if (aSide.mSocket >= 0) {
    mRegistrations.erase(aSide.mSocket);
    ::close(aSide.mSocket);
    aSide = Side();
  }
}

/// Closes both connections. That to the VM is reset, unless the VM has closed
/// it.
void
TunnelServer::Impl::Close(Tunnel& aTunnel, const char* aReason)
{
  Log::Info("tunnel_closed")
    .Field("target", aTunnel.mTargetAddress)
    .Field("reason", aReason)
    .Field("to_target_bytes", aTunnel.mVm.mReceived)
    .Field("from_target_bytes", aTunnel.mTarget.mReceived)
    .Field("ms", ToMillis(mReactor->Now() - aTunnel.mStartedAt));
  mReactor->CancelTimer(aTunnel.mTimer);
  CloseSide(aTunnel.mVm);
  CloseSide(aTunnel.mTarget);
  mTunnels.erase(&aTunnel);
}

TunnelServer::TunnelServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

TunnelServer::~TunnelServer() = default;

std::unique_ptr<TunnelServer>
TunnelServer::Create(const Settings& aSettings,
                     const SocketAddress& aListen,
                     Reactor* aReactor,
                     TunnelServerListener* aListener)
{
  auto impl = std::make_unique<Impl>(aSettings, aReactor, aListener);
  if (!impl->Start(aListen)) {
    return nullptr;
  }
  return std::unique_ptr<TunnelServer>(new TunnelServer(std::move(impl)));
}

std::size_t
TunnelServer::OpenCount() const
{
  return mImpl->mTunnels.size();
}

} // namespace peridothoist
