/// Handles follow requests, with which entries poll this control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>

namespace peridothoist {

/// Responds with the view changes that an entry does not hold yet.
class FollowRequestHandler
{
public:
  explicit FollowRequestHandler(ControlState& aState);

  /// Returns the update from the version that the entry reports to the held
  /// version. Sets aHasNewQuarantine to whether the entry reported a suspect or
  /// quarantined request that was unknown here, or a quarantined request that
  /// was only suspect here.
  peer::ViewUpdate HandleRequest(const peer::FollowRequest& aRequest,
                                 TimePoint aNow,
                                 bool* aHasNewQuarantine);

private:
  /// Records the state of the entry of this VM; ignores entries of other VMs.
  void UpdateLocalEntry(const peer::FollowRequest& aRequest, TimePoint aNow);

  ControlState& mState;
};

} // namespace peridothoist
