/// Starts, stops and crashes one engine stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineHost.h>

namespace peridothoist::standin {

namespace {

constexpr int kCrashExitCode = 3;

} // namespace

EngineHost::EngineHost(Reactor& aReactor,
                       HttpClient& aClient,
                       std::string aAddress,
                       EngineSettings aSettings,
                       std::uint64_t aSeed)
  : mReactor(aReactor)
  , mClient(aClient)
  , mAddress(std::move(aAddress))
  , mSettings(std::move(aSettings))
  , mRandom(aSeed)
{
}

bool
EngineHost::Start()
{
  if (IsRunning()) {
    return true;
  }
  const auto listen = ParseListenAddress(mAddress);
  if (!listen) {
    return false;
  }
  mService = std::make_unique<EngineService>(
    mReactor, mClient, mSettings, mFaults, mLog, mRandom, [this] { Crash(); });
  std::string reason;
  mServer = HttpServer::Create(mReactor, *listen, mService.get(), &reason);
  if (!mServer) {
    std::fprintf(stderr,
                 "event=listen_failed address=%s reason=\"%s\"\n",
                 mAddress.c_str(),
                 reason.c_str());
  }
  return IsRunning();
}

void
EngineHost::Kill()
{
  mServer.reset();
  mService.reset();
}

Json
EngineHost::Stats() const
{
  Json stats = mService ? mService->Stats() : Json::object();
  stats["alive"] = IsRunning();
  stats["deaths"] = mCrashCount;
  return stats;
}

void
EngineHost::Crash()
{
  if (mShouldExitOnCrash) {
    std::_Exit(kCrashExitCode);
  }
  ++mCrashCount;
  // Deferred to a later event, since this runs inside a handler of the server
  // that Kill() destroys.
  mReactor.Post([this] { Kill(); });
}

} // namespace peridothoist::standin
