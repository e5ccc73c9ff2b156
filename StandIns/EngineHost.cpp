/// Life and death of one engine stand-in.
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
  if (Alive()) {
    return true;
  }
  const auto listen = ListenSettings(mAddress);
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
  return Alive();
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
  stats["alive"] = Alive();
  stats["deaths"] = mDeaths;
  return stats;
}

void
EngineHost::Crash()
{
  if (mExitOnCrash) {
    std::_Exit(kCrashExitCode);
  }
  ++mDeaths;
  // From a later event: this runs within a handler of the server.
  mReactor.Post([this] { Kill(); });
}

} // namespace peridothoist::standin
