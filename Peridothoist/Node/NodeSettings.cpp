#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeSettings.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

namespace peridothoist {

namespace {

/// Queries at shorter intervals would cost more than they show.
constexpr Duration kMinQueryInterval = 10ms;

/// With less, not even one body of the usual limit could be held.
constexpr std::size_t kMinVmMemoryBytes = 32u << 20;

} // namespace

std::optional<Reason>
NodeSettings::Check() const
{
  struct Row
  {
    const char* mSetting;
    const std::string& mValue;
    bool mIsRequired;
  };
  const Row rows[] = {
    { "listen", mListen, true },
    { "ready_listen", mReadyListen, true },
    { "directory_listen", mDirectoryListen, false },
    { "metrics_listen", mMetricsListen, false },
    { "peer_listen", mPeerListen, true },
    { "tunnel_listen", mTunnelListen, false },
  };
  for (const Row& row : rows) {
    if (row.mValue.empty() && !row.mIsRequired) {
      continue;
    }
    if (const auto error = CheckSocketAddress(row.mSetting, row.mValue)) {
      return Reason{ ReasonCode::Invalid, *error };
    }
  }
  if (!mCallFrom.empty()) {
    if (const auto error = CheckIpAddress("call_from", mCallFrom)) {
      return Reason{ ReasonCode::Invalid, *error };
    }
  }
  if (const auto error = CheckName("vm", mVm)) {
    return Reason{ ReasonCode::Invalid, *error };
  }
  if (const auto error = CheckName("zone", mZone)) {
    return Reason{ ReasonCode::Invalid, *error };
  }
  for (const std::string& seed : mSeeds) {
    if (const auto error = CheckSocketAddress("seeds", seed)) {
      return Reason{ ReasonCode::Invalid, *error };
    }
  }
  if (mView.mMargin >= mView.mRevokeLimit) {
    return Reason{ ReasonCode::Invalid,
                   "setting revoke_limit_ms is too short; allowed: more than " +
                     std::to_string(mView.mMargin.count() / 1000) };
  }
  if (mViews.mQueryInterval < kMinQueryInterval) {
    return Reason{ ReasonCode::Invalid,
                   "setting change_limit_ms or leave_limit_ms is too short; "
                   "allowed: 100 and more" };
  }
  if (mLeaving.mGracePeriod <= Duration(0)) {
    return Reason{ ReasonCode::Invalid,
                   "setting grace_s is not positive; allowed: more than 0" };
  }
  if (mVmMemoryBytes < kMinVmMemoryBytes) {
    return Reason{ ReasonCode::Invalid,
                   "setting memory_mb is too small; allowed: " +
                     std::to_string(kMinVmMemoryBytes >> 20) + " and more" };
  }
  const double prefill = mStageOrders.mBalance.mPrefillFraction;
  if (!(prefill >= 0 && prefill <= 1)) {
    return Reason{ ReasonCode::Invalid,
                   "setting prefill_part is " + std::to_string(prefill) +
                     "; allowed: 0 to 1" };
  }
  const double waitPart = mAdmission.mWaitPart;
  if (!(waitPart >= 0 && waitPart <= 1)) {
    return Reason{ ReasonCode::Invalid,
                   "setting allowance_wait_part is " +
                     std::to_string(waitPart) + "; allowed: 0 to 1" };
  }
  return std::nullopt;
}

} // namespace peridothoist
