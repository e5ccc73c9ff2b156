/// Follows the life and death of upstreams: what broke where, whether it was
/// a crash, and who was there.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/AttemptMachine.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Notes signs of life and death.
class UpstreamWatch
{
public:
  UpstreamWatch(EntryContext& aContext, AttemptMachine& aAttempts)
    : mContext(aContext)
    , mAttempts(aAttempts)
  {
  }

  /// A call with this digest's content broke at an upstream.
  void OnBroken(const std::string& aUpstream, const std::string& aDigest);

  /// An upstream reported its load.
  void OnReport(const std::string& aUpstream, const LoadReport& aReport);

  /// An upstream is lost. Returns the digests that are quarantined now.
  std::vector<std::string> OnDead(const std::string& aUpstream,
                                  DeathKind aKind);

  /// An upstream answers again.
  void OnAlive(const std::string& aUpstream);

private:
  /// A call that broke.
  struct Break
  {
    std::string mDigest;
    TimePoint mAt;
  };

  void OnSignOfLife(UpstreamState& aUpstream);
  std::vector<std::string> Blamed(const UpstreamState& aUpstream);
  void EndAttempts(UpstreamState& aUpstream, bool aGone);

  EntryContext& mContext;
  AttemptMachine& mAttempts;
  std::map<std::string, std::vector<Break>> mBreaks; ///< By upstream.
};

} // namespace peridothoist
