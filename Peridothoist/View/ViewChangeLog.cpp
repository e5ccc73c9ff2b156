#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewChangeLog.h>

#include <array>

namespace peridothoist {

namespace {

std::size_t
BytesOf(const ConfigChange& aChange)
{
  std::size_t bytes = aChange.mOperationId.size() + sizeof(ConfigChange);
  for (const ItemEdit& edit : aChange.mEdits) {
    bytes += edit.mName.size() + edit.mJson.size() + sizeof(ItemEdit);
  }
  return bytes;
}

} // namespace

const char*
ToName(ApplyResult aResult)
{
  static constexpr std::array<const char*, 3> kNames = { "applied",
                                                         "duplicate",
                                                         "gap" };
  return kNames[static_cast<std::size_t>(aResult)];
}

ViewChangeLog::ViewChangeLog(const Settings& aSettings)
  : mSettings(aSettings)
{
}

ApplyResult
ViewChangeLog::Apply(const ConfigChange& aChange)
{
  if (aChange.mVersion <= mVersion) {
    return ApplyResult::Duplicate;
  }
  if (aChange.mVersion != mVersion + 1) {
    return ApplyResult::Gap;
  }
  mVersion = aChange.mVersion;
  mBytes += BytesOf(aChange);
  mChanges.push_back(aChange);
  Trim();
  return ApplyResult::Applied;
}

bool
ViewChangeLog::Reset(std::uint64_t aVersion)
{
  if (aVersion <= mVersion) {
    return false;
  }
  mVersion = aVersion;
  mBytes = 0;
  mChanges.clear();
  return true;
}

ViewDelta
ViewChangeLog::ChangesSince(std::uint64_t aVersion, std::size_t aMaxBytes) const
{
  ViewDelta delta;
  if (aVersion >= mVersion) {
    return delta;
  }
  const std::uint64_t oldest = mVersion - mChanges.size() + 1;
  if (aVersion + 1 < oldest) {
    delta.mNeedsSnapshot = true;
    return delta;
  }
  std::size_t bytes = 0;
  for (std::size_t i = aVersion + 1 - oldest; i < mChanges.size(); ++i) {
    bytes += BytesOf(mChanges[i]);
    if (bytes > aMaxBytes && !delta.mChanges.empty()) {
      break;
    }
    delta.mChanges.push_back(mChanges[i]);
  }
  return delta;
}

const ConfigChange*
ViewChangeLog::FindOperation(std::string_view aOperationId) const
{
  for (const ConfigChange& change : mChanges) {
    if (change.mOperationId == aOperationId) {
      return &change;
    }
  }
  return nullptr;
}

void
ViewChangeLog::Trim()
{
  while (mChanges.size() > mSettings.mMaxChanges ||
         mBytes > mSettings.mMaxBytes) {
    mBytes -= BytesOf(mChanges.front());
    mChanges.pop_front();
  }
}

} // namespace peridothoist
