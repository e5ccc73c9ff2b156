/// Admin API endpoints for requests whose outcome is in doubt.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminOutcomeEndpoints.h>

#include <Peridothoist/Lease/ReclaimPlanner.h>
#include <Peridothoist/Platform/OutcomeStore.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::size_t kRowsPerPage = 500;
constexpr std::size_t kMaxPagesPerListing = 20;
/// HTTP status of the stored response that retries of a request settled as
/// "ran" receive.
constexpr int kSettledHttpStatus = 409;

bool
IsInDoubt(const OutcomeRow& aRow)
{
  return aRow.mState == OutcomeRowState::Claimed ||
         aRow.mState == OutcomeRowState::MayHaveRun;
}

} // namespace

AdminOutcomeEndpoints::AdminOutcomeEndpoints(Reactor& aReactor,
                                             ControlState& aState,
                                             Platform& aPlatform)
  : mReactor(aReactor)
  , mState(aState)
  , mPlatform(aPlatform)
  , mAlive(std::make_shared<bool>(true))
{
}

AdminOutcomeEndpoints::~AdminOutcomeEndpoints()
{
  *mAlive = false;
}

void
AdminOutcomeEndpoints::Register(AdminServer& aServer)
{
  aServer.AddEndpoint(
    "GET", "/admin/v1/outcomes", [this](const AdminRequest& aRequest) {
      ServeOutcomeList(aRequest);
    });
  aServer.AddEndpoint(
    "POST", "/admin/v1/outcomes", [this](const AdminRequest& aRequest) {
      ServeSettle(aRequest);
    });
}

bool
AdminOutcomeEndpoints::MayStillBeRunning(const OutcomeRow& aRow) const
{
  const std::string_view instance = InstanceOfRequest(aRow.mAttemptId + "/1");
  const std::vector<Member> members =
    mState.mMembers.CurrentMembers(mReactor.Now());
  return std::any_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.mEntryInstance == instance;
    });
}

void
AdminOutcomeEndpoints::ServeOutcomeList(const AdminRequest& aRequest)
{
  const auto listing = std::make_shared<Listing>(Listing{ aRequest });
  Scan(listing, kOutcomeRowsBegin + aRequest.SubPath());
}

void
AdminOutcomeEndpoints::Scan(const std::shared_ptr<Listing>& aListing,
                            const std::string& aFrom)
{
  ++aListing->mPageCount;
  mPlatform.Scan(aFrom,
                 kOutcomeRowsEnd,
                 kRowsPerPage,
                 [this, alive = mAlive, aListing](const ScanResult& aResult) {
                   if (*alive) {
                     OnPage(aListing, aResult);
                   }
                 });
}

void
AdminOutcomeEndpoints::OnPage(const std::shared_ptr<Listing>& aListing,
                              const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    aListing->mRequest.RespondError(
      { ReasonCode::Unreachable, "the platform does not respond" });
    return;
  }
  for (const TableRow& it : aResult.mRows) {
    const auto row = DecodeOutcomeRow(it.mValue);
    if (!row || !IsInDoubt(*row)) {
      continue;
    }
    const bool mayStillRun =
      row->mState == OutcomeRowState::Claimed && MayStillBeRunning(*row);
    aListing->mRows.push_back({ { "row", it.mKey },
                                { "version", it.mVersion },
                                { "state", ToName(row->mState) },
                                { "attempt", row->mAttemptId },
                                { "at", row->mWrittenAt },
                                { "may_still_run", mayStillRun } });
  }
  const bool hasMore = aResult.mHasMore && !aResult.mRows.empty();
  if (hasMore && aListing->mPageCount < kMaxPagesPerListing) {
    // Continues directly after the last row: keys contain no character below
    // '!'.
    Scan(aListing, aResult.mRows.back().mKey + '!');
    return;
  }
  json body = { { "outcomes", aListing->mRows } };
  if (hasMore) {
    body["more_from"] = aResult.mRows.back().mKey;
  }
  aListing->mRequest.Respond(200, body);
}

void
AdminOutcomeEndpoints::ServeSettle(const AdminRequest& aRequest)
{
  const std::string row = aRequest.TextField("row");
  const std::string verdict = aRequest.TextField("verdict");
  const std::string reason = aRequest.TextField("reason");
  if (row.rfind(kOutcomeRowsBegin, 0) != 0) {
    aRequest.RespondError(
      { ReasonCode::Invalid,
        "row: must be a row key from the outcome listing" });
    return;
  }
  if (verdict != "ran" && verdict != "not_run") {
    aRequest.RespondError(
      { ReasonCode::Invalid, "verdict: must be \"ran\" or \"not_run\"" });
    return;
  }
  if (reason.find_first_not_of(" \t\r\n") == std::string::npos) {
    aRequest.RespondError({ ReasonCode::Invalid, "reason: must not be blank" });
    return;
  }
  mPlatform.ReadRow(
    row, [this, alive = mAlive, aRequest](const ScanResult& aResult) {
      if (*alive) {
        OnRow(aRequest, aResult);
      }
    });
}

void
AdminOutcomeEndpoints::OnRow(const AdminRequest& aRequest,
                             const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    aRequest.RespondError(
      { ReasonCode::Unreachable, "the platform does not respond" });
    return;
  }
  auto row = aResult.mRows.empty()
               ? std::nullopt
               : DecodeOutcomeRow(aResult.mRows.front().mValue);
  if (!row) {
    aRequest.RespondError({ ReasonCode::NotFound, "row: does not exist" });
    return;
  }
  if (!IsInDoubt(*row)) {
    aRequest.RespondError({ ReasonCode::Conflict,
                            "row: is not in doubt; its state is " +
                              std::string(ToName(row->mState)) });
    return;
  }
  if (row->mState == OutcomeRowState::Claimed && MayStillBeRunning(*row)) {
    aRequest.RespondError(
      { ReasonCode::Conflict,
        "row: the entry that claimed it is alive and may still run it" });
    return;
  }
  const bool hasRun = aRequest.TextField("verdict") == "ran";
  row->mState = hasRun ? OutcomeRowState::Settled : OutcomeRowState::NotRun;
  row->mOperator = aRequest.OperatorName();
  row->mReason = aRequest.TextField("reason");
  row->mWrittenAt = detail::UnixTimeSeconds();
  if (hasRun) {
    const json body = { { "error",
                          { { "code", "already_ran" },
                            { "message", "settled: " + row->mReason } } } };
    row->mStoredOutcome =
      StoredOutcome{ kSettledHttpStatus,
                     body.dump(),
                     { { "content-type", "application/json" } } };
  }
  const std::string& key = aResult.mRows.front().mKey;
  Log::Info("outcome_settled")
    .Field("operator", aRequest.OperatorName())
    .Field("row", key)
    .Field("state", ToName(row->mState))
    .Field("reason", row->mReason);
  mPlatform.Commit(
    { { { key, aResult.mRows.front().mVersion } },
      { { key, EncodeOutcomeRow(*row) } } },
    [aRequest](const TransactionResult& aWritten) {
      switch (aWritten.mStatus) {
        case TransactionStatus::Committed:
          aRequest.Respond(200, { { "settled", true } });
          return;
        case TransactionStatus::Conflict:
          aRequest.RespondError(
            { ReasonCode::Conflict, "row: was changed concurrently" });
          return;
        case TransactionStatus::InDoubt:
          aRequest.RespondError(
            { ReasonCode::InDoubt,
              "the result of the write is unknown; list the outcomes again" });
          return;
        default:
          aRequest.RespondError({ ReasonCode::Unreachable, aWritten.mReason });
      }
    });
}

} // namespace peridothoist
