#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/VmRegistry.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

constexpr Duration kRetryInterval = 1s;

} // namespace

VmRegistry::VmRegistry(const std::string& aTable,
                       const std::string& aVm,
                       Reactor* aReactor,
                       RowStore* aStore)
  : mTable(aTable)
  , mVm(aVm)
  , mReactor(aReactor)
  , mStore(aStore)
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
  mStore->Change({ mTable, mVm, "{}", std::nullopt },
                 [this, alive](const Reason& aReason, std::uint64_t) {
                   if (!*alive) {
                     return;
                   }
                   mIsRegistering = false;
                   if (aReason.mCode == ReasonCode::None) {
                     Log::Info("registered").Field("name", mVm);
                     return;
                   }
                   Log::Info("not_registered")
                     .Field("name", mVm)
                     .Field("code", ToName(aReason.mCode))
                     .Field("reason", aReason.mText);
                   mRetryTimer =
                     mReactor->Schedule(kRetryInterval, [this] { Register(); });
                 });
}

void
VmRegistry::OnNamesRead(const std::set<std::string>& aNames)
{
  if (aNames.count(mVm) == 0) {
    Register();
  }
}

void
VmRegistry::Remove(const std::vector<std::string>& aVms)
{
  for (const std::string& vm : aVms) {
    mStore->Change({ mTable, vm, std::nullopt, std::nullopt },
                   [vm](const Reason& aReason, std::uint64_t) {
                     Log::Info("vm_removed")
                       .Field("name", vm)
                       .Field("code", ToName(aReason.mCode));
                   });
  }
}

} // namespace peridothoist
