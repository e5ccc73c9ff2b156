/// Admin API endpoints for requests whose outcome is in doubt: list the rows,
/// and settle one row with a written reason.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Platform/OutcomeRow.h>
#include <Peridothoist/Platform/Platform.h>

namespace peridothoist {

/// Registers its endpoints on an AdminServer and must outlive that server.
class AdminOutcomeEndpoints
{
public:
  AdminOutcomeEndpoints(Reactor& aReactor,
                        ControlState& aState,
                        Platform& aPlatform);
  ~AdminOutcomeEndpoints();
  AdminOutcomeEndpoints(const AdminOutcomeEndpoints&) = delete;
  AdminOutcomeEndpoints& operator=(const AdminOutcomeEndpoints&) = delete;

  void Register(AdminServer& aServer);

private:
  /// A request for the list, whose rows are being read.
  struct Listing
  {
    AdminRequest mRequest;
    nlohmann::json mRows = nlohmann::json::array();
    std::size_t mPageCount = 0; ///< Number of table scans started.
  };

  void ServeOutcomeList(const AdminRequest& aRequest);
  void Scan(const std::shared_ptr<Listing>& aListing, const std::string& aFrom);
  void OnPage(const std::shared_ptr<Listing>& aListing,
              const ScanResult& aResult);
  void ServeSettle(const AdminRequest& aRequest);
  void OnRow(const AdminRequest& aRequest, const ScanResult& aResult);
  /// Returns whether the entry instance that claimed the request is still a
  /// member.
  bool MayStillBeRunning(const OutcomeRow& aRow) const;

  Reactor& mReactor;
  ControlState& mState;
  Platform& mPlatform;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
