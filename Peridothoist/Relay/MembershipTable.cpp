#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/MembershipTable.h>

#include <algorithm>
#include <array>

namespace peridothoist {

const char*
ToName(ServingState aState)
{
  static constexpr std::array<const char*, 3> kNames = { "nothing",
                                                         "open_routes",
                                                         "everything" };
  return kNames[static_cast<std::size_t>(aState)];
}

namespace {

/// Number of further messages for which the speeds that a VM told are kept;
/// two of its reports.
constexpr std::uint64_t kMessagesWithSpeeds = 14;

/// Keeps the speeds that a message tells, and drops old ones.
void
UpdateSpeeds(MembershipTable::Member& aMember, const GossipMessage& aMessage)
{
  const bool isSameProcess =
    aMember.mLastMessage.mInstance == aMessage.mInstance;
  const bool isOld =
    aMessage.mSequence > aMember.mSpeedsSequence + kMessagesWithSpeeds;
  if (!aMessage.mSpeeds.empty()) {
    aMember.mSpeeds = aMessage.mSpeeds;
    aMember.mSpeedsSequence = aMessage.mSequence;
  } else if (!isSameProcess || isOld) {
    aMember.mSpeeds.clear();
  }
}

} // namespace

MembershipTable::MembershipTable(const Settings& aSettings, std::string aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
{
}

bool
MembershipTable::OnGossipMessage(GossipMessage aMessage, TimePoint aNow)
{
  if (aMessage.mVm == mSelf) {
    return false;
  }
  const auto known = mMembers.find(aMessage.mVm);
  if (known != mMembers.end() &&
      known->second.mLastMessage.mInstance == aMessage.mInstance &&
      known->second.mLastMessage.mSequence >= aMessage.mSequence) {
    return false;
  }
  const std::string vm = aMessage.mVm;
  Member& member = mMembers[vm];
  UpdateSpeeds(member, aMessage);
  member.mLastMessage = std::move(aMessage);
  member.mLastSeen = aNow;
  return true;
}

void
MembershipTable::SetRegistered(const std::set<std::string>& aNames,
                               TimePoint aNow)
{
  std::map<std::string, TimePoint> since;
  for (const std::string& name : aNames) {
    const auto known = mRegisteredSince.find(name);
    since[name] = known == mRegisteredSince.end() ? aNow : known->second;
  }
  mRegisteredSince = std::move(since);
}

void
MembershipTable::RestartSilence(TimePoint aNow)
{
  for (auto& [name, since] : mRegisteredSince) {
    since = aNow;
  }
}

void
MembershipTable::OnRunning(TimePoint aNow)
{
  if (HasPaused(aNow)) {
    RestartSilence(aNow);
  }
  mLastRunning = aNow;
}

/// Returns whether this process was paused or delayed just before aNow.
bool
MembershipTable::HasPaused(TimePoint aNow) const
{
  return mLastRunning && aNow - *mLastRunning > mSettings.mSilenceTimeout;
}

bool
MembershipTable::IsReachable(const std::string& aVm, TimePoint aNow) const
{
  const auto it = mMembers.find(aVm);
  return it != mMembers.end() &&
         aNow - it->second.mLastSeen <= mSettings.mSilenceTimeout;
}

std::size_t
MembershipTable::Count(TimePoint aNow) const
{
  std::size_t count = 1;
  for (const auto& [name, since] : mRegisteredSince) {
    count += name != mSelf ? 1 : 0;
  }
  for (const auto& [name, member] : mMembers) {
    const bool counted = mRegisteredSince.count(name) > 0;
    count += !counted && IsReachable(name, aNow) ? 1 : 0;
  }
  return count;
}

double
MembershipTable::ReachableFraction(TimePoint aNow) const
{
  std::size_t reachable = 1 + mReachableElsewhere;
  for (const auto& [name, member] : mMembers) {
    reachable += IsReachable(name, aNow) ? 1 : 0;
  }
  const std::size_t count = Count(aNow);
  return static_cast<double>(std::min(reachable, count)) /
         static_cast<double>(count);
}

std::vector<CallerAddress>
MembershipTable::Callers(TimePoint aNow) const
{
  std::vector<CallerAddress> callers;
  for (const auto& [name, member] : mMembers) {
    const GossipMessage& message = member.mLastMessage;
    if (IsReachable(name, aNow)) {
      callers.push_back({ message.mZone,
                          message.mCallerAddress,
                          message.mServing,
                          message.mTunnelAddress });
    }
  }
  return callers;
}

std::vector<std::string>
MembershipTable::RegisteredButSilent(Duration aSilentFor, TimePoint aNow) const
{
  std::vector<std::string> silent;
  if (HasPaused(aNow)) {
    return silent;
  }
  for (const auto& [name, since] : mRegisteredSince) {
    const auto member = mMembers.find(name);
    const TimePoint last =
      member == mMembers.end() ? since : member->second.mLastSeen;
    if (name != mSelf && aNow - std::max(last, since) > aSilentFor) {
      silent.push_back(name);
    }
  }
  return silent;
}

std::set<std::string>
MembershipTable::PeerAddresses() const
{
  std::set<std::string> addresses;
  for (const auto& [name, member] : mMembers) {
    addresses.insert(member.mLastMessage.mPeerAddress);
  }
  return addresses;
}

std::vector<std::string>
MembershipTable::DropSilent(Duration aSilentFor, TimePoint aNow)
{
  std::vector<std::string> instances;
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    if (aNow - it->second.mLastSeen > aSilentFor) {
      instances.push_back(it->second.mLastMessage.mInstance);
      it = mMembers.erase(it);
    } else {
      ++it;
    }
  }
  return instances;
}

} // namespace peridothoist
