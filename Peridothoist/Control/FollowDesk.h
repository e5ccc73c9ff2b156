/// Answers entries that follow this control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>

namespace peridothoist {

/// Brings entries up to date.
class FollowDesk
{
public:
  explicit FollowDesk(ControlState& aState);

  /// What an entry at the request's version lacks. aNews is set when it told
  /// of a quarantined request that wasn't known here.
  peer::ViewUpdate Answer(const peer::FollowRequest& aRequest,
                          TimePoint aNow,
                          bool* aNews);

private:
  void TakeEntry(const peer::FollowRequest& aRequest, TimePoint aNow);

  ControlState& mState;
};

} // namespace peridothoist
