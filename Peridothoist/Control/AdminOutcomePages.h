/// Operators' pages for requests whose outcome is in doubt: lists the rows,
/// and settles one with a written reason.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Platform/OutcomeRow.h>
#include <Peridothoist/Platform/Platform.h>

namespace peridothoist {

/// Adds its pages to a server; must outlive it.
class AdminOutcomePages
{
public:
  AdminOutcomePages(Reactor& aReactor,
                    ControlState& aState,
                    Platform& aPlatform);
  ~AdminOutcomePages();
  AdminOutcomePages(const AdminOutcomePages&) = delete;
  AdminOutcomePages& operator=(const AdminOutcomePages&) = delete;

  void Register(AdminServer& aServer);

private:
  /// A listing under way.
  struct Listing
  {
    AdminCall mCall;
    nlohmann::json mRows = nlohmann::json::array();
    std::size_t mPages = 0;
  };

  void ServeList(const AdminCall& aCall);
  void Scan(const std::shared_ptr<Listing>& aListing, const std::string& aFrom);
  void OnPage(const std::shared_ptr<Listing>& aListing,
              const ScanResult& aResult);
  void ServeSettle(const AdminCall& aCall);
  void OnRow(const AdminCall& aCall, const ScanResult& aResult);
  bool MayStillRun(const OutcomeRow& aRow) const;

  Reactor& mReactor;
  ControlState& mState;
  Platform& mPlatform;
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
