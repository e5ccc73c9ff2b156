#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Keys/CallerKey.h>

#include <openssl/crypto.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Compares in constant time: the duration depends only on the lengths.
bool
IsSameDigest(std::string_view aLeft, std::string_view aRight)
{
  return !aLeft.empty() && aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

KeyAuthenticator::KeyAuthenticator(const Settings& aSettings)
  : mSettings(aSettings)
{
}

bool
KeyAuthenticator::SetKeys(std::uint64_t aVersion,
                          const std::map<std::string, KeyRecord>& aKeys)
{
  if (aVersion < mVersion) {
    return false;
  }
  mVersion = aVersion;
  mKeys = { aKeys.begin(), aKeys.end() };
  for (auto it = mSuspensions.begin(); it != mSuspensions.end();) {
    it = IsSettled(it->second.mSuspension) ? mSuspensions.erase(it)
                                           : std::next(it);
  }
  return true;
}

std::optional<KeyIdentity>
KeyAuthenticator::Authenticate(std::string_view aText, Reason* aReason) const
{
  const std::optional<CallerKey> key = CallerKey::Parse(aText, aReason);
  if (!key) {
    return std::nullopt;
  }
  // An unknown name takes the same time as a wrong secret, so that names can't
  // be found out by timing.
  static const KeyRecord kUnknownKey;
  const auto found = mKeys.find(key->mName);
  const KeyRecord& record = found == mKeys.end() ? kUnknownKey : found->second;
  const std::string digest = DigestKey(record.mSalt, key->mSecret);
  if (!IsSameDigest(digest, record.mDigest)) {
    Reason::Set(aReason, ReasonCode::Refused, "the key is unknown");
    return std::nullopt;
  }
  KeyIdentity identity{ record.mName, record.mWorkspace, record.mDigest };
  if (!IsStillValid(identity, aReason)) {
    return std::nullopt;
  }
  return identity;
}

bool
KeyAuthenticator::IsStillValid(const KeyIdentity& aIdentity,
                               Reason* aReason) const
{
  const auto found = mKeys.find(aIdentity.mKeyName);
  if (found == mKeys.end() ||
      !IsSameDigest(found->second.mDigest, aIdentity.mDigest) ||
      found->second.mWorkspace != aIdentity.mWorkspace) {
    Reason::Set(aReason, ReasonCode::Refused, "the key was withdrawn");
    return false;
  }
  if (IsSuspended(aIdentity.mKeyName)) {
    Reason::Set(aReason,
                ReasonCode::InDoubt,
                "the key is suspended until a change in doubt is settled");
    return false;
  }
  return true;
}

bool
KeyAuthenticator::Suspend(const KeySuspension& aSuspension, TimePoint aNow)
{
  if (IsSettled(aSuspension)) {
    return true;
  }
  const TimePoint since = aNow - aSuspension.mAge;
  const auto found = mSuspensions.find(aSuspension.mOperationId);
  if (found != mSuspensions.end()) {
    found->second.mSince = std::min(found->second.mSince, since);
    return true;
  }
  if (mSuspensions.size() >= mSettings.mMaxSuspensions) {
    return false;
  }
  mSuspensions.emplace(aSuspension.mOperationId,
                       HeldSuspension{ aSuspension, since });
  return true;
}

void
KeyAuthenticator::Settle(const std::string& aOperationId)
{
  mSuspensions.erase(aOperationId);
  if (!mSettled.insert(aOperationId).second) {
    return;
  }
  mSettledInOrder.push_back(aOperationId);
  if (mSettledInOrder.size() > mSettings.mMaxSettled) {
    mSettled.erase(mSettledInOrder.front());
    mSettledInOrder.pop_front();
  }
}

std::vector<KeySuspension>
KeyAuthenticator::Suspensions(TimePoint aNow) const
{
  std::vector<KeySuspension> all;
  for (const auto& [id, held] : mSuspensions) {
    all.push_back(WithCurrentAges(held, aNow));
  }
  return all;
}

std::vector<KeySuspension>
KeyAuthenticator::Overdue(TimePoint aNow) const
{
  std::vector<KeySuspension> overdue;
  for (const auto& [id, held] : mSuspensions) {
    if (aNow - held.mSince > mSettings.mSettleAfter) {
      overdue.push_back(WithCurrentAges(held, aNow));
    }
  }
  return overdue;
}

bool
KeyAuthenticator::IsSuspended(std::string_view aKeyName) const
{
  for (const auto& [id, held] : mSuspensions) {
    const auto& names = held.mSuspension.mKeyNames;
    if (std::find(names.begin(), names.end(), aKeyName) != names.end()) {
      return true;
    }
  }
  return false;
}

bool
KeyAuthenticator::IsSettled(const KeySuspension& aSuspension) const
{
  const bool isVersionReached =
    aSuspension.mVersion != 0 && aSuspension.mVersion <= mVersion;
  return isVersionReached || mSettled.count(aSuspension.mOperationId) > 0;
}

KeySuspension
KeyAuthenticator::WithCurrentAges(const HeldSuspension& aHeld,
                                  TimePoint aNow) const
{
  KeySuspension suspension = aHeld.mSuspension;
  suspension.mAge = std::max(aNow - aHeld.mSince, Duration{ 0 });
  return suspension;
}

} // namespace peridothoist
