#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridothoist {

namespace {

/// Larger numbers of sharers are not told apart; no fleet is as large.
constexpr double kMaxSharers = 100000;

/// Returns a number from 0 to 1 that differs between VMs and upstreams. Buckets
/// that started empty at the same moment would all be full at the same moment.
double
InitialTokens(const std::string& aUpstream, const std::string& aVm)
{
  return static_cast<double>(RendezvousScore(aUpstream, aVm)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

void
MergeLimits(LimitsByUpstream& aTo, const LimitsByUpstream& aFrom)
{
  for (const auto& [upstream, limit] : aFrom) {
    const auto added = aTo.emplace(upstream, limit);
    if (!added.second && limit.mAge < added.first->second.mAge) {
      added.first->second = limit;
    }
  }
}

void
MergeColdTimes(ColdTimes& aTo, const ColdTimes& aFrom)
{
  for (const auto& [upstream, time] : aFrom) {
    Duration& known = aTo[upstream];
    known = std::max(known, time);
  }
}

void
UpstreamLimiter::SetSharers(const LimitSharers* aSharers, std::string aSelf)
{
  mSharers = aSharers;
  mSelf = std::move(aSelf);
}

void
UpstreamLimiter::OnRequest(const std::string& aService, TimePoint aNow)
{
  const double before = DemandFor(aService, aNow);
  mDemand[aService] = { before + 1 / ToSeconds(mSettings.mDemandPeriod), aNow };
}

double
UpstreamLimiter::DemandFor(const std::string& aService, TimePoint aNow) const
{
  const auto it = mDemand.find(aService);
  if (it == mDemand.end()) {
    return 0;
  }
  const double periods =
    ToSeconds(aNow - it->second.mAt) / ToSeconds(mSettings.mDemandPeriod);
  return it->second.mPerSecond * std::exp(-periods);
}

/// Returns the demand at all VMs that tell it.
double
UpstreamLimiter::FleetDemandFor(const std::string& aService,
                                TimePoint aNow) const
{
  double demand = DemandFor(aService, aNow);
  for (const auto& [vm, byService] : mPeers) {
    const auto it = byService.find(aService);
    demand += it == byService.end() ? 0 : it->second;
  }
  return demand;
}

bool
UpstreamLimiter::OnStated(const std::string& aUpstream,
                          const std::string& aService,
                          const StatedLimit& aLimit,
                          TimePoint aNow)
{
  const auto known = mLimits.find(aUpstream);
  const bool wasStated =
    known != mLimits.end() && known->second.mStatedAt != TimePoint();
  if (!wasStated && !aLimit.mPerSecond) {
    return false;
  }
  const bool isKnown = known != mLimits.end() && IsStated(known->second, aNow);
  const bool isChanged =
    (isKnown ? known->second.mPerSecond : std::nullopt) != aLimit.mPerSecond;
  const bool wasOwn = known != mLimits.end() && known->second.mIsOwn;
  if (isChanged || !wasOwn || aLimit.mPerSecond) {
    SetLimit(aUpstream, aService, aLimit.mPerSecond, aNow, aNow);
    mLimits[aUpstream].mIsOwn = true;
  }
  return isChanged;
}

void
UpstreamLimiter::SetLimit(const std::string& aUpstream,
                          const std::string& aService,
                          std::optional<double> aPerSecond,
                          TimePoint aStatedAt,
                          TimePoint aNow)
{
  ChangeLimit(aUpstream, aService, aNow, [&](Limit& aLimit) {
    aLimit.mPerSecond = aPerSecond;
    aLimit.mStatedAt = aStatedAt;
  });
}

/// Applies aChange to the limit of an upstream, which keeps its tokens.
template<typename Change>
void
UpstreamLimiter::ChangeLimit(const std::string& aUpstream,
                             const std::string& aService,
                             TimePoint aNow,
                             Change aChange)
{
  const Limit* before = FindLimited(aUpstream, aNow);
  const double tokens = before == nullptr ? InitialTokens(aUpstream, mSelf)
                                          : TokensOf(aUpstream, *before, aNow);
  Limit& limit = mLimits[aUpstream];
  limit.mService = aService;
  aChange(limit);
  limit.mTokens = tokens;
  limit.mTokensAt = aNow;
}

void
UpstreamLimiter::OnCold(const std::string& aUpstream,
                        const std::string& aService,
                        const ColdLimit& aLimit,
                        ColdSource aSource,
                        TimePoint aNow)
{
  if (aLimit.mUntil <= aNow || aLimit.mPerSecond <= 0) {
    return;
  }
  const auto known = mLimits.find(aUpstream);
  const bool isOutdated = aSource == ColdSource::Heard &&
                          known != mLimits.end() &&
                          aNow < known->second.mHeardIgnoredUntil;
  if (isOutdated) {
    return;
  }
  ChangeLimit(aUpstream, aService, aNow, [&](Limit& aChanged) {
    const TimePoint knownUntil =
      IsCold(aChanged, aNow) ? aChanged.mCold->mUntil : aNow;
    aChanged.mCold = { aLimit.mPerSecond, std::max(knownUntil, aLimit.mUntil) };
    if (aSource == ColdSource::Own) {
      const bool wasOwn = aNow < aChanged.mOwnColdUntil;
      aChanged.mOwnColdSince = wasOwn ? aChanged.mOwnColdSince : aNow;
      aChanged.mOwnColdUntil = std::max(aChanged.mOwnColdUntil, aLimit.mUntil);
      aChanged.mHeardIgnoredUntil = TimePoint();
    }
  });
}

void
UpstreamLimiter::OnWarm(const std::string& aUpstream, TimePoint aNow)
{
  const auto it = mLimits.find(aUpstream);
  if (it != mLimits.end() && it->second.mCold) {
    const std::string service = it->second.mService;
    ChangeLimit(aUpstream, service, aNow, [&](Limit& aChanged) {
      aChanged.mHeardIgnoredUntil =
        std::max(aNow + mSettings.mWarmHoldPeriod, aChanged.mCold->mUntil);
      aChanged.mCold.reset();
      aChanged.mOwnColdUntil = TimePoint();
    });
  }
}

void
UpstreamLimiter::OnSent(const std::string& aUpstream, TimePoint aNow)
{
  const Limit* limit = FindLimited(aUpstream, aNow);
  if (limit == nullptr) {
    return;
  }
  const double tokens = TokensOf(aUpstream, *limit, aNow) - 1;
  Limit& changed = mLimits[aUpstream];
  changed.mTokens = tokens;
  changed.mTokensAt = aNow;
}

void
UpstreamLimiter::OnPeerDemand(const std::string& aVm, DemandByService aDemand)
{
  mPeers[aVm] = std::move(aDemand);
}

void
UpstreamLimiter::OnPeerLimits(
  const LimitsByUpstream& aLimits,
  const std::function<std::string(const std::string&)>& aServiceOf,
  TimePoint aNow)
{
  for (const auto& [upstream, reported] : aLimits) {
    const TimePoint statedAt = aNow - reported.mAge;
    const auto known = mLimits.find(upstream);
    const bool isNewer =
      known == mLimits.end() || statedAt > known->second.mStatedAt;
    const std::string service = aServiceOf(upstream);
    if (isNewer && !service.empty()) {
      SetLimit(upstream, service, reported.mPerSecond, statedAt, aNow);
      mLimits[upstream].mIsOwn = false;
    }
  }
}

const DemandByService&
UpstreamLimiter::ReportDemand(TimePoint aNow)
{
  mReportedDemand.clear();
  for (const auto& [upstream, limit] : mLimits) {
    if (FindLimited(upstream, aNow) != nullptr) {
      mReportedDemand[limit.mService] = DemandFor(limit.mService, aNow);
    }
  }
  return mReportedDemand;
}

LimitsByUpstream
UpstreamLimiter::OwnLimits(TimePoint aNow) const
{
  LimitsByUpstream limits;
  for (const auto& [upstream, limit] : mLimits) {
    const Duration age = aNow - limit.mStatedAt;
    const Duration period = limit.mPerSecond ? mSettings.mStatementLifetime
                                             : mSettings.mEndReportPeriod;
    if (limit.mIsOwn && age < period) {
      limits[upstream] = { limit.mPerSecond, age };
    }
  }
  return limits;
}

ColdTimes
UpstreamLimiter::OwnColdTimes(TimePoint aNow) const
{
  ColdTimes times;
  for (const auto& [upstream, limit] : mLimits) {
    const bool isReported =
      limit.mOwnColdUntil > aNow + mSettings.mMinReportedCold &&
      aNow < limit.mOwnColdSince + mSettings.mColdReportPeriod;
    if (isReported) {
      times[upstream] = limit.mOwnColdUntil - aNow;
    }
  }
  return times;
}

/// Returns whether a limit that the upstream stated is in force.
bool
UpstreamLimiter::IsStated(const Limit& aLimit, TimePoint aNow) const
{
  return aLimit.mPerSecond &&
         aNow < aLimit.mStatedAt + mSettings.mStatementLifetime;
}

bool
UpstreamLimiter::IsCold(const Limit& aLimit, TimePoint aNow)
{
  return aLimit.mCold && aNow < aLimit.mCold->mUntil;
}

bool
UpstreamLimiter::IsCold(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mLimits.find(aUpstream);
  return it != mLimits.end() && IsCold(it->second, aNow);
}

std::size_t
UpstreamLimiter::ColdCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mLimits.begin(), mLimits.end(), [&](const auto& aIt) {
      return IsCold(aIt.second, aNow);
    }));
}

/// Returns null if the upstream has no limit.
const UpstreamLimiter::Limit*
UpstreamLimiter::FindLimited(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mLimits.find(aUpstream);
  const bool isLimited = it != mLimits.end() && (IsStated(it->second, aNow) ||
                                                 IsCold(it->second, aNow));
  return isLimited ? &it->second : nullptr;
}

std::size_t
UpstreamLimiter::LimitedCount(TimePoint aNow) const
{
  std::size_t count = 0;
  for (const auto& [upstream, limit] : mLimits) {
    count += IsLimited(upstream, aNow) ? 1 : 0;
  }
  return count;
}

bool
UpstreamLimiter::IsLimited(const std::string& aUpstream, TimePoint aNow) const
{
  return FindLimited(aUpstream, aNow) != nullptr;
}

double
UpstreamLimiter::RateOf(const Limit& aLimit, TimePoint aNow) const
{
  double rate = std::numeric_limits<double>::max();
  if (IsStated(aLimit, aNow)) {
    rate = std::max(*aLimit.mPerSecond, mSettings.mMinRate);
  }
  return IsCold(aLimit, aNow) ? std::min(rate, aLimit.mCold->mPerSecond) : rate;
}

/// Returns the size of a sharer's bucket. What a cold upstream bears beyond its
/// rate is used up by the shares and the number of sharers.
double
UpstreamLimiter::BurstOf(const Limit& aLimit,
                         double aShare,
                         TimePoint aNow) const
{
  return IsCold(aLimit, aNow)
           ? 1.0
           : std::max(1.0, aShare * ToSeconds(mSettings.mBurst));
}

/// Returns the largest part of the limit that one of aSharers may have. The
/// parts by demand of sharers that don't hear each other can add up to more
/// than the limit; a cold upstream would crash by that.
double
UpstreamLimiter::MaxShareOf(const Limit& aLimit,
                            std::size_t aSharers,
                            TimePoint aNow) const
{
  return IsCold(aLimit, aNow) ? std::max(1.0, mSettings.mColdOverage) /
                                  static_cast<double>(aSharers)
                              : 1.0;
}

/// Returns how many VMs may send to the upstream. The bucket of each sharer
/// holds one request, so a cold upstream has no more of them than requests that
/// it bears beyond its rate.
std::size_t
UpstreamLimiter::SharerCountOf(const Limit& aLimit, TimePoint aNow) const
{
  const double byRequests =
    std::min(RateOf(aLimit, aNow) * mSettings.mSharersPerRequest, kMaxSharers);
  const auto byRate =
    mSettings.mMinSharers + static_cast<std::size_t>(byRequests);
  const auto bySlack =
    static_cast<std::size_t>(std::max(1.0, mSettings.mColdSlack));
  return IsCold(aLimit, aNow) ? std::min(byRate, bySlack) : byRate;
}

/// Returns the VMs that may send to the upstream.
const std::vector<std::string>&
UpstreamLimiter::SharersOf(const std::string& aUpstream,
                           const Limit& aLimit,
                           TimePoint aNow) const
{
  const std::size_t count = SharerCountOf(aLimit, aNow);
  const bool isCurrent = aLimit.mSharersAt && aLimit.mSharerCount == count &&
                         aNow < *aLimit.mSharersAt + mSettings.mSharersLifetime;
  if (!isCurrent) {
    std::vector<std::string> candidates = { mSelf };
    if (mSharers != nullptr) {
      candidates = mSharers->CandidatesFor(aUpstream);
    }
    aLimit.mSharers = TopRendezvousNodes(
      aUpstream, candidates, std::min(count, candidates.size()));
    aLimit.mSharerCount = count;
    aLimit.mSharersAt = aNow;
  }
  return aLimit.mSharers;
}

/// Divides the limit by demand. A sharer whose demand is not known counts like
/// the mean of the others.
double
UpstreamLimiter::ShareOf(const std::string& aUpstream,
                         const Limit& aLimit,
                         TimePoint aNow) const
{
  const std::vector<std::string>& sharers = SharersOf(aUpstream, aLimit, aNow);
  if (std::find(sharers.begin(), sharers.end(), mSelf) == sharers.end()) {
    return 0;
  }
  const auto reported = mReportedDemand.find(aLimit.mService);
  const double demand = reported == mReportedDemand.end()
                          ? DemandFor(aLimit.mService, aNow)
                          : reported->second;
  const double own = demand + mSettings.mIdleDemand;
  double known = own;
  std::size_t knownCount = 1;
  for (const std::string& vm : sharers) {
    const auto peer = mPeers.find(vm);
    if (vm == mSelf || peer == mPeers.end()) {
      continue;
    }
    const auto theirs = peer->second.find(aLimit.mService);
    if (theirs != peer->second.end()) {
      known += theirs->second + mSettings.mIdleDemand;
      ++knownCount;
    }
  }
  const double all = known * static_cast<double>(sharers.size()) /
                     static_cast<double>(knownCount);
  return RateOf(aLimit, aNow) *
         std::min(own / all, MaxShareOf(aLimit, sharers.size(), aNow));
}

double
UpstreamLimiter::TokensOf(const std::string& aUpstream,
                          const Limit& aLimit,
                          TimePoint aNow) const
{
  const double share = ShareOf(aUpstream, aLimit, aNow);
  const double refilled =
    aLimit.mTokens + share * ToSeconds(aNow - aLimit.mTokensAt);
  return std::min(BurstOf(aLimit, share, aNow), refilled);
}

std::optional<double>
UpstreamLimiter::Available(const std::string& aUpstream, TimePoint aNow) const
{
  const Limit* limit = FindLimited(aUpstream, aNow);
  if (limit == nullptr) {
    return std::nullopt;
  }
  const bool isSharer = ShareOf(aUpstream, *limit, aNow) > 0;
  return isSharer ? TokensOf(aUpstream, *limit, aNow) : 0;
}

std::vector<std::string>
UpstreamLimiter::DueChecks(TimePoint aNow) const
{
  std::vector<std::string> due;
  for (const auto& [upstream, limit] : mLimits) {
    if (!IsStated(limit, aNow)) {
      continue;
    }
    const std::vector<std::string>& sharers = SharersOf(upstream, limit, aNow);
    const auto self = std::find(sharers.begin(), sharers.end(), mSelf);
    const Duration wait =
      mSettings.mCheckInterval * (1 + (self - sharers.begin()));
    const bool isDue =
      self != sharers.end() && aNow - limit.mStatedAt >= wait &&
      FleetDemandFor(limit.mService, aNow) >= mSettings.mIdleDemand &&
      TokensOf(upstream, limit, aNow) >= 1;
    if (isDue) {
      due.push_back(upstream);
    }
  }
  return due;
}

double
UpstreamLimiter::Share(const std::string& aUpstream, TimePoint aNow) const
{
  const Limit* limit = FindLimited(aUpstream, aNow);
  return limit == nullptr ? 0 : ShareOf(aUpstream, *limit, aNow);
}

} // namespace peridothoist
