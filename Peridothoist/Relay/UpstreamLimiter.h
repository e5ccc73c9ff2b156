/// Keeps all VMs together to the limits that upstreams state for their
/// requests, and to what they bear while they are cold.
///
/// A limit is divided over a few VMs, its sharers, which are the same wherever
/// they are computed. Each has a token bucket, whose rate is the sharer's part
/// of the limit by its demand as the sharers tell each other. In any window of
/// W seconds an upstream with a limit of L requests a second gets at most L *
/// (W + mBurst) + the number of sharers, which grows with L only, whatever the
/// number of VMs is. The other VMs send it nothing.
///
/// The limit of a cold upstream ends by itself. It has no more sharers than
/// mColdSlack, each with a bucket of one request and at most mColdOverage times
/// an equal part of the rate. In any second the upstream therefore gets at most
/// the rate times mColdOverage plus mColdSlack, even if sharers don't hear each
/// other.
///
/// Sharers that are not heard may be serving callers: their part stays theirs.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Settings of UpstreamLimiter.
struct UpstreamLimiterSettings
{
  /// Burst of a sharer's bucket, in time at its rate; at least one request.
  Duration mBurst = 500ms;
  std::size_t mMinSharers = 2;
  double mSharersPerRequest = 1; ///< Further sharers per request a second.
  /// Rate in requests a second that is used for a lower limit as well, so that
  /// its end is noticed.
  double mMinRate = 0.5;
  /// Demand in requests a second that each sharer has at least, so that an idle
  /// one can start to send.
  double mIdleDemand = 0.5;
  Duration mDemandPeriod = 2s; ///< Over which the demand is averaged.
  /// A limit that was not stated again for this long has ended.
  Duration mStatementLifetime = 30s;
  /// After this time without a statement a sharer asks the upstream, so that
  /// the end of the limit is noticed when all requests go elsewhere; each
  /// further sharer asks only as much later again.
  Duration mCheckInterval = 2s;
  /// The end of a limit is reported to other VMs for this long.
  Duration mEndReportPeriod = 5s;
  /// After an upstream stated that it is not cold, what other VMs report is
  /// ignored for this long, or until the end of the time known before: they go
  /// on reporting that.
  Duration mWarmHoldPeriod = 5s;
  Duration mSharersLifetime = 1s; ///< Time until sharers are looked up again.
  // In any second a cold upstream bears its rate times mColdOverage, plus
  // mColdSlack requests.
  double mColdOverage = 1.5;
  double mColdSlack = 5;
  /// Cold limits that this VM learnt itself are reported to other VMs if they
  /// last longer than this; it takes as long until all know it.
  Duration mMinReportedCold = 250ms;
  /// They are reported for this long after they were learnt. VMs that start
  /// later learn them from the list.
  Duration mColdReportPeriod = 5s;
};

/// What an upstream states with a response; nullopt: no limit.
struct StatedLimit
{
  std::optional<double> mPerSecond; ///< Requests a second, from all VMs.
};

/// A statement as it is sent, independent of the sender's clock.
struct ReportedLimit
{
  std::optional<double> mPerSecond;
  Duration mAge{ 0 }; ///< Time since the upstream stated it.
};

using LimitsByUpstream = std::map<std::string, ReportedLimit>;

/// For how long upstreams stay cold, as VMs tell each other.
using ColdTimes = std::map<std::string, Duration>;

/// Adds the times of aFrom to aTo; of two about one upstream the longer one.
void
MergeColdTimes(ColdTimes& aTo, const ColdTimes& aFrom);

/// How a VM learnt that an upstream is cold.
enum class ColdSource
{
  Own,  ///< By its entry, its response or a return; reported to other VMs.
  Heard ///< From another VM.
};

/// What a cold upstream bears.
struct ColdLimit
{
  double mPerSecond = 0; ///< Requests a second, from all VMs; above 0.
  TimePoint mUntil;
};

/// Requests a second that a VM receives, by service.
using DemandByService = std::map<std::string, double>;

/// Adds the statements of aFrom to aTo; of two about one upstream the newer
/// one.
void
MergeLimits(LimitsByUpstream& aTo, const LimitsByUpstream& aFrom);

/// Tells which VMs may share the limit of an upstream.
class LimitSharers
{
public:
  virtual ~LimitSharers() = default;

  /// Returns the names of VMs that tell each other their demand, registered or
  /// heard; the same at each of them.
  virtual std::vector<std::string> CandidatesFor(
    const std::string& aUpstream) const = 0;
};

/// Holds the limits of all upstreams, for one VM.
class UpstreamLimiter
{
public:
  using Settings = UpstreamLimiterSettings;

  explicit UpstreamLimiter(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// aSharers is not owned; null: this VM is alone. aSelf: its name.
  void SetSharers(const LimitSharers* aSharers, std::string aSelf);

  /// Called when a request for the service arrived.
  void OnRequest(const std::string& aService, TimePoint aNow);
  /// Called with each response of an upstream of the service. Returns whether
  /// the limit differs from the one known before.
  bool OnStated(const std::string& aUpstream,
                const std::string& aService,
                const StatedLimit& aLimit,
                TimePoint aNow);
  /// Called when an upstream is cold. Of two times the later one holds.
  void OnCold(const std::string& aUpstream,
              const std::string& aService,
              const ColdLimit& aLimit,
              ColdSource aSource,
              TimePoint aNow);
  /// Called when an upstream stated that it is not cold.
  void OnWarm(const std::string& aUpstream, TimePoint aNow);
  /// Called when a request was sent to the upstream.
  void OnSent(const std::string& aUpstream, TimePoint aNow);
  /// Called when the upstream is gone or was restarted.
  void Forget(const std::string& aUpstream) { mLimits.erase(aUpstream); }

  // Other VMs
  void OnPeerDemand(const std::string& aVm, DemandByService aDemand);
  /// Called when a VM has been silent for so long that it is gone.
  void ForgetPeer(const std::string& aVm) { mPeers.erase(aVm); }
  /// aServiceOf returns the service of an upstream; "" if it is not listed.
  void OnPeerLimits(
    const LimitsByUpstream& aLimits,
    const std::function<std::string(const std::string&)>& aServiceOf,
    TimePoint aNow);
  /// Returns the demand for the services that have limited upstreams, to report
  /// to other VMs. This VM's parts follow from what it reported last: its
  /// newest demand beside older ones of the others would give all of them too
  /// much while the demand rises.
  const DemandByService& ReportDemand(TimePoint aNow);
  /// Returns what upstreams stated to this VM itself.
  LimitsByUpstream OwnLimits(TimePoint aNow) const;

  /// Returns the cold upstreams of which this VM learnt itself.
  ColdTimes OwnColdTimes(TimePoint aNow) const;

  /// Returns the number of upstreams that have a limit, stated or cold.
  std::size_t LimitedCount(TimePoint aNow) const;
  std::size_t ColdCount(TimePoint aNow) const;
  bool IsCold(const std::string& aUpstream, TimePoint aNow) const;
  bool IsLimited(const std::string& aUpstream, TimePoint aNow) const;
  /// Returns how many requests this VM may send to the upstream now; nullopt if
  /// it has no limit.
  std::optional<double> Available(const std::string& aUpstream,
                                  TimePoint aNow) const;
  /// Returns the upstreams whose limits this VM is to check now, within its
  /// parts of them. Without demand for their service, it does not matter
  /// whether they are still in force.
  std::vector<std::string> DueChecks(TimePoint aNow) const;
  /// Returns this VM's part of the upstream's limit in requests a second.
  double Share(const std::string& aUpstream, TimePoint aNow) const;

private:
  struct Limit
  {
    std::string mService;
    std::optional<double> mPerSecond;
    TimePoint mStatedAt; ///< TimePoint(): it was never stated.
    bool mIsOwn = false; ///< It was stated to this VM.
    std::optional<ColdLimit> mCold;
    /// Until when it is cold as far as this VM learnt itself. Only this is
    /// reported: VMs that passed on what they heard would extend it by the
    /// messages' delay each time, without end.
    TimePoint mOwnColdUntil;
    TimePoint mOwnColdSince;      ///< When this VM learnt it.
    TimePoint mHeardIgnoredUntil; ///< See mWarmHoldPeriod.
    double mTokens = 0;           ///< At mTokensAt; may be negative.
    TimePoint mTokensAt;
    // The sharers as of mSharersAt, of which there may be mSharerCount.
    mutable std::vector<std::string> mSharers;
    mutable std::size_t mSharerCount = 0;
    mutable std::optional<TimePoint> mSharersAt;
  };
  struct Demand
  {
    double mPerSecond = 0; ///< At mAt; decays since.
    TimePoint mAt;
  };

  const Limit* FindLimited(const std::string& aUpstream, TimePoint aNow) const;
  void SetLimit(const std::string& aUpstream,
                const std::string& aService,
                std::optional<double> aPerSecond,
                TimePoint aStatedAt,
                TimePoint aNow);
  bool IsStated(const Limit& aLimit, TimePoint aNow) const;
  static bool IsCold(const Limit& aLimit, TimePoint aNow);
  double RateOf(const Limit& aLimit, TimePoint aNow) const;
  double BurstOf(const Limit& aLimit, double aShare, TimePoint aNow) const;
  double MaxShareOf(const Limit& aLimit,
                    std::size_t aSharers,
                    TimePoint aNow) const;
  std::size_t SharerCountOf(const Limit& aLimit, TimePoint aNow) const;
  template<typename Change>
  void ChangeLimit(const std::string& aUpstream,
                   const std::string& aService,
                   TimePoint aNow,
                   Change aChange);
  double ShareOf(const std::string& aUpstream,
                 const Limit& aLimit,
                 TimePoint aNow) const;
  double TokensOf(const std::string& aUpstream,
                  const Limit& aLimit,
                  TimePoint aNow) const;
  const std::vector<std::string>& SharersOf(const std::string& aUpstream,
                                            const Limit& aLimit,
                                            TimePoint aNow) const;
  double DemandFor(const std::string& aService, TimePoint aNow) const;
  double FleetDemandFor(const std::string& aService, TimePoint aNow) const;

  Settings mSettings;
  const LimitSharers* mSharers = nullptr;
  std::string mSelf;
  std::map<std::string, Limit> mLimits;          ///< By upstream.
  std::map<std::string, Demand> mDemand;         ///< By service.
  DemandByService mReportedDemand;               ///< The last report.
  std::map<std::string, DemandByService> mPeers; ///< By VM, the last report.
};

} // namespace peridothoist
