#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/VmRegistry.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr Duration kRetryInterval = 1s;

/// What peers know may be as old as this.
constexpr Duration kPeerDelay = 5s;

// Fields of a VM's row.
constexpr const char* kZone = "zone";
constexpr const char* kPeer = "peer";

/// Returns the text in a field, or "" if it has none.
std::string
TextField(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  const bool isText = it != aObject.end() && it->is_string();
  return isText ? it->get<std::string>() : std::string();
}

} // namespace

VmRegistry::VmRegistry(const std::string& aTable,
                       const VmRecord& aSelf,
                       Reactor* aReactor,
                       RowStore* aStore,
                       std::function<void()> aOnRegistered)
  : mTable(aTable)
  , mSelf(aSelf)
  , mReactor(aReactor)
  , mStore(aStore)
  , mOnRegistered(std::move(aOnRegistered))
{
}

VmRegistry::~VmRegistry()
{
  *mAlive = false;
  mReactor->CancelTimer(mRetryTimer);
}

void
VmRegistry::Register()
{
  if (mIsRegistering) {
    return;
  }
  mIsRegistering = true;
  const auto alive = mAlive;
  const json row = { { kZone, mSelf.mZone }, { kPeer, mSelf.mPeerAddress } };
  mStore->Change({ mTable, mSelf.mName, row.dump(), std::nullopt },
                 [this, alive](const Reason& aReason, StoreVersion) {
                   if (!*alive) {
                     return;
                   }
                   mIsRegistering = false;
                   if (aReason.mCode == ReasonCode::None) {
                     mRegisteredAt = mReactor->Now();
                     Log::Info("registered").Field("name", mSelf.mName);
                     mOnRegistered();
                     return;
                   }
                   Log::Info("not_registered")
                     .Field("name", mSelf.mName)
                     .Field("code", ToName(aReason.mCode))
                     .Field("reason", aReason.mText);
                   mRetryTimer =
                     mReactor->Schedule(kRetryInterval, [this] { Register(); });
                 });
}

VmRecords
VmRegistry::Decode(const std::vector<StoredRow>& aRows)
{
  VmRecords vms;
  for (const StoredRow& row : aRows) {
    VmRecord vm;
    vm.mName = row.mKey;
    const json body = json::parse(row.mValue, nullptr, false);
    if (body.is_object()) {
      vm.mZone = TextField(body, kZone);
      vm.mPeerAddress = TextField(body, kPeer);
    }
    const bool isComplete = !vm.mPeerAddress.empty();
    vms[vm.mName] = isComplete ? vm : VmRecord{ vm.mName, "", "" };
  }
  return vms;
}

void
VmRegistry::OnVmsRead(const VmRecords& aVms)
{
  const auto it = aVms.find(mSelf.mName);
  if (it == aVms.end() || !(it->second == mSelf)) {
    Register();
  }
}

void
VmRegistry::OnVmsHeard(const VmRecords& aVms)
{
  const bool isOld = mReactor->Now() - mRegisteredAt >= kPeerDelay;
  if (isOld && aVms.count(mSelf.mName) == 0) {
    Register();
  }
}

void
VmRegistry::Remove(const std::vector<std::string>& aVms)
{
  for (const std::string& vm : aVms) {
    mStore->Change({ mTable, vm, std::nullopt, std::nullopt },
                   [vm](const Reason& aReason, StoreVersion) {
                     Log::Info("vm_removed")
                       .Field("name", vm)
                       .Field("code", ToName(aReason.mCode));
                   });
  }
}

} // namespace peridothoist
