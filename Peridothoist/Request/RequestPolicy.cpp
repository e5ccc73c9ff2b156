#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestPolicy.h>
#include <Peridothoist/Config/ConfigItemCodec.h>

#include <algorithm>

namespace peridothoist {

std::optional<RefusalKind>
RequestPolicy::CheckArrival(const RequestState& aRequest,
                            Duration& aRetryAfter) const
{
  const std::optional<TimePoint> quarantinedUntil =
    mContext.mSuspects.QuarantinedUntil(aRequest.mDigest, mContext.mNow);
  if (quarantinedUntil) {
    aRetryAfter = *quarantinedUntil - mContext.mNow;
    return RefusalKind::Quarantined;
  }
  const std::optional<RefusalKind> accessRefusal = CheckPoolAccess(aRequest);
  if (accessRefusal) {
    return accessRefusal;
  }
  const bool isKeyMissing = aRequest.mArrival.mIdempotencyKey.empty();
  if (!aRequest.IsIdempotent() && isKeyMissing &&
      DefaultsOf(aRequest).mIdempotencyKeyRequired) {
    return RefusalKind::IdempotencyKeyMissing;
  }
  return mDispatcher.CheckAdmission(aRequest, aRetryAfter);
}

Defaults
RequestPolicy::DefaultsOf(const RequestState& aRequest) const
{
  return EffectiveDefaults(*mContext.mConfiguration,
                           aRequest.mArrival.mWorkspace);
}

std::optional<RefusalKind>
RequestPolicy::CheckPoolAccess(const RequestState& aRequest) const
{
  const Route& route = *aRequest.mArrival.mRoute;
  if (route.mIsOpenToAll) {
    return std::nullopt;
  }
  const auto& workspaces = mContext.mConfiguration->mWorkspaces;
  const auto workspace = workspaces.find(aRequest.mArrival.mWorkspace);
  if (workspace == workspaces.end()) {
    return RefusalKind::PoolNotAllowed;
  }
  const std::vector<std::string>& pools = workspace->second.mPools;
  for (const std::string* pool :
       { &route.mPrefillPool, &route.mDecodePool, &route.mPlainPool }) {
    if (!pool->empty() &&
        std::find(pools.begin(), pools.end(), *pool) == pools.end()) {
      return RefusalKind::PoolNotAllowed;
    }
  }
  return std::nullopt;
}

std::optional<RefusalKind>
RequestPolicy::CheckStart(const RequestState& aRequest) const
{
  if (mContext.mSuspects.QuarantinedUntil(aRequest.mDigest, mContext.mNow)) {
    return RefusalKind::Quarantined;
  }
  if (aRequest.mHeadSent) {
    return std::nullopt; // It was accepted, and its response has started.
  }
  const std::optional<RefusalKind> accessRefusal = CheckPoolAccess(aRequest);
  if (accessRefusal) {
    return accessRefusal;
  }
  return mContext.mDispatchPolicy->CheckDispatch(
    aRequest.mArrival.mWorkspace, aRequest.mArrival.mKeyName, mContext.mNow);
}

} // namespace peridothoist
