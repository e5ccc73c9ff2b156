/// Several control processes on one reactor, with an in-memory platform and
/// real gRPC and HTTP connections over the loopback interface.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlProcess.h>
#include <Peridothoist/Peers/PeerClient.h>

#include <Control/InMemoryPlatform.h>
#include <Shell/ShellFixture.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

/// SHA-256 digest of the operator key "operator-key".
constexpr const char* kOperatorKeyDigest =
  "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

/// One response of the admin API.
struct AdminResponse
{
  int mStatus = 0;
  nlohmann::json mBody;
};

/// Returns a TCP port that is currently free.
inline std::uint16_t
FreePort()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  BOOST_REQUIRE_EQUAL(
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size), 0);
  BOOST_REQUIRE_EQUAL(
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size), 0);
  ::close(socket);
  return ntohs(address.sin_port);
}

/// Platform client of one process, which can be disconnected from the shared
/// platform.
class DisconnectablePlatform : public Platform
{
public:
  DisconnectablePlatform(Reactor& aReactor, InMemoryPlatform& aSharedPlatform)
    : mReactor(aReactor)
    , mSharedPlatform(aSharedPlatform)
  {
  }

  /// While true, table transactions, scans and VM listings fail as unreachable.
  bool mIsDisconnected = false;

  // See: Platform
  void Commit(const TableTransaction& aTransaction,
              TransactionCallback aDone) override
  {
    if (!mIsDisconnected) {
      mSharedPlatform.Commit(aTransaction, std::move(aDone));
      return;
    }
    mReactor.Post([aDone = std::move(aDone)] { aDone(TransactionResult()); });
  }
  void Scan(const std::string& aFrom,
            const std::string& aTo,
            std::size_t aLimit,
            ScanCallback aDone) override
  {
    if (!mIsDisconnected) {
      mSharedPlatform.Scan(aFrom, aTo, aLimit, std::move(aDone));
      return;
    }
    mReactor.Post([aDone = std::move(aDone)] { aDone(ScanResult()); });
  }
  void PutObject(const std::string& aName,
                 std::string aBody,
                 PutCallback aDone) override
  {
    mSharedPlatform.PutObject(aName, std::move(aBody), std::move(aDone));
  }
  void GetObject(const std::string& aName, ObjectCallback aDone) override
  {
    mSharedPlatform.GetObject(aName, std::move(aDone));
  }
  void ListVms(VmListCallback aDone) override
  {
    if (!mIsDisconnected) {
      mSharedPlatform.ListVms(std::move(aDone));
      return;
    }
    mReactor.Post([aDone = std::move(aDone)] { aDone(VmListResult()); });
  }

private:
  Reactor& mReactor;
  InMemoryPlatform& mSharedPlatform;
};

/// One VM's control process.
struct ControlNode
{
  ControlSettings mSettings;
  std::unique_ptr<DisconnectablePlatform> mPlatform;
  std::unique_ptr<ControlProcess> mProcess; ///< Null while it is stopped.
};

/// VMs vm0, vm1, ... in zones z0 to z2, with shorter intervals than in
/// production.
struct ControlFixture
{
  explicit ControlFixture(std::size_t aCount)
    : mReactor(Reactor::Create())
    , mHttp(HttpClient::Create(*mReactor))
    , mSharedPlatform(*mReactor)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      mNodes.push_back(MakeNode(n));
    }
    for (const ControlNode& it : mNodes) {
      mSharedPlatform.mVms.push_back(MakeListedMember(it.mSettings));
    }
    for (ControlNode& it : mNodes) {
      Start(it);
    }
  }

  ControlNode MakeNode(std::size_t aIndex)
  {
    ControlNode node;
    ControlSettings& settings = node.mSettings;
    settings.mVm = "vm" + std::to_string(aIndex);
    settings.mZone = "z" + std::to_string(aIndex % 3);
    settings.mPeerListen = "127.0.0.1:" + std::to_string(FreePort());
    settings.mEntryAddress = "127.0.0.1:1";
    settings.mEntryPeer = "127.0.0.1:2";
    settings.mPeerCredentials.mSharedSecret = "0123456789abcdef";
    settings.mOperators = { { "maria", OperatorDigest() } };
    settings.mOutage.mMaxCommitDelay = 200ms;
    settings.mTickInterval = 25ms;
    settings.mVmListInterval = 50ms;
    settings.mConfigPoller.mPollInterval = 50ms;
    settings.mExchange.mInterval = 100ms;
    settings.mExchange.mUrgentInterval = 25ms;
    settings.mCommitter.mResultTimeout = 300ms;
    settings.mCommitter.mResolver.mBackoff = { 5ms, 50ms };
    node.mPlatform =
      std::make_unique<DisconnectablePlatform>(*mReactor, mSharedPlatform);
    return node;
  }

  static std::string OperatorDigest() { return kOperatorKeyDigest; }

  static Member MakeListedMember(const ControlSettings& aSettings)
  {
    Member member;
    member.mVm = aSettings.mVm;
    member.mZone = aSettings.mZone;
    member.mEntryAddress = aSettings.mEntryAddress;
    member.mEntryPeer = aSettings.mEntryPeer;
    member.mControlPeer = aSettings.mPeerListen;
    return member;
  }

  void Start(ControlNode& aNode)
  {
    aNode.mSettings.mInstance =
      aNode.mSettings.mVm + "-c-" + std::to_string(++mStartCount);
    Reason reason;
    aNode.mProcess = ControlProcess::Create(
      *mReactor, *mHttp, *aNode.mPlatform, aNode.mSettings, &reason);
    BOOST_REQUIRE_MESSAGE(aNode.mProcess != nullptr, reason.mText);
  }

  AdminResponse CallAdmin(std::size_t aNode,
                          const std::string& aMethod,
                          const std::string& aPath,
                          const nlohmann::json& aBody = nullptr,
                          const std::string& aKey = "operator-key")
  {
    HttpCall call;
    call.mMethod = aMethod;
    call.mUrl = "http://127.0.0.1:" +
                std::to_string(mNodes[aNode].mProcess->AdminPort()) + aPath;
    call.mHeaders["authorization"] = "Bearer " + aKey;
    if (!aBody.is_null()) {
      call.mBody = aBody.dump();
    }
    std::optional<AdminResponse> response;
    mHttp->Fetch(std::move(call),
                 [&](const HttpCallResult& aResult, const std::string& aText) {
                   response = AdminResponse{ aResult.mStatus,
                                             nlohmann::json::parse(
                                               aText, nullptr, false) };
                 });
    test::RunUntil(*mReactor, [&] { return response.has_value(); });
    return response.value_or(AdminResponse());
  }

  nlohmann::json ViewStatus(std::size_t aNode)
  {
    return CallAdmin(aNode, "GET", "/admin/v1/status").mBody["view"];
  }

  /// Polls the view status of each running node until aCondition holds. Returns
  /// false if a node does not get there within 8 s.
  bool WaitUntilAll(
    const std::function<bool(const nlohmann::json&)>& aCondition)
  {
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      const TimePoint end = mReactor->Now() + 8s;
      while (mNodes[n].mProcess && !aCondition(ViewStatus(n))) {
        if (mReactor->Now() > end) {
          return false;
        }
        RunFor(10ms);
      }
    }
    return true;
  }

  bool WaitUntilFresh()
  {
    return WaitUntilAll(
      [](const nlohmann::json& aView) { return aView.value("fresh", false); });
  }

  bool WaitUntilVersion(std::uint64_t aVersion)
  {
    return WaitUntilAll([aVersion](const nlohmann::json& aView) {
      return aView.value("version", std::uint64_t(0)) == aVersion;
    });
  }

  /// Runs the reactor for a duration.
  void RunFor(Duration aDuration)
  {
    mReactor->Schedule(aDuration, [this] { mReactor->Stop(); });
    mReactor->Run();
  }

  std::unique_ptr<Reactor> mReactor;
  std::unique_ptr<HttpClient> mHttp;
  InMemoryPlatform mSharedPlatform;
  std::vector<ControlNode> mNodes;
  int mStartCount = 0;
};

} // namespace peridothoist
