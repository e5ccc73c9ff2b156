/// Operators' pages for requests whose outcome is in doubt.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminOutcomePages.h>

#include <Peridothoist/Lease/ReclaimPlanner.h>
#include <Peridothoist/Platform/OutcomeStore.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::size_t kPageRows = 500;
constexpr std::size_t kMaxPages = 20; ///< Read for one listing.
constexpr int kSettledStatus = 409;   ///< What resends of a settled one get.

bool
IsInDoubt(const OutcomeRow& aRow)
{
  return aRow.mState == OutcomeRowState::Claimed ||
         aRow.mState == OutcomeRowState::MayHaveRun;
}

} // namespace

AdminOutcomePages::AdminOutcomePages(Reactor& aReactor,
                                     ControlState& aState,
                                     Platform& aPlatform)
  : mReactor(aReactor)
  , mState(aState)
  , mPlatform(aPlatform)
  , mAlive(std::make_shared<bool>(true))
{
}

AdminOutcomePages::~AdminOutcomePages()
{
  *mAlive = false;
}

void
AdminOutcomePages::Register(AdminServer& aServer)
{
  aServer.Add("GET", "/admin/v1/outcomes", [this](const AdminCall& aCall) {
    ServeList(aCall);
  });
  aServer.Add("POST", "/admin/v1/outcomes", [this](const AdminCall& aCall) {
    ServeSettle(aCall);
  });
}

bool
AdminOutcomePages::MayStillRun(const OutcomeRow& aRow) const
{
  const std::string_view instance = InstanceOfRequest(aRow.mAttempt + "/1");
  const std::vector<Member> members = mState.mMembers.Export(mReactor.Now());
  return std::any_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.mEntryInstance == instance;
    });
}

void
AdminOutcomePages::ServeList(const AdminCall& aCall)
{
  const auto listing = std::make_shared<Listing>(Listing{ aCall });
  Scan(listing, kOutcomeRowsFrom + aCall.Rest());
}

void
AdminOutcomePages::Scan(const std::shared_ptr<Listing>& aListing,
                        const std::string& aFrom)
{
  ++aListing->mPages;
  mPlatform.Scan(aFrom,
                 kOutcomeRowsTo,
                 kPageRows,
                 [this, alive = mAlive, aListing](const ScanResult& aResult) {
                   if (*alive) {
                     OnPage(aListing, aResult);
                   }
                 });
}

void
AdminOutcomePages::OnPage(const std::shared_ptr<Listing>& aListing,
                          const ScanResult& aResult)
{
  if (!aResult.mReached) {
    aListing->mCall.Refuse(
      { ReasonCode::Unreachable, "the platform doesn't answer" });
    return;
  }
  for (const TableRow& it : aResult.mRows) {
    const auto row = DecodeOutcomeRow(it.mValue);
    if (!row || !IsInDoubt(*row)) {
      continue;
    }
    const bool running =
      row->mState == OutcomeRowState::Claimed && MayStillRun(*row);
    aListing->mRows.push_back({ { "row", it.mKey },
                                { "version", it.mVersion },
                                { "state", ToName(row->mState) },
                                { "attempt", row->mAttempt },
                                { "at", row->mWrittenAt },
                                { "may_still_run", running } });
  }
  const bool goesOn = aResult.mMore && !aResult.mRows.empty();
  if (goesOn && aListing->mPages < kMaxPages) {
    Scan(aListing, aResult.mRows.back().mKey + '!');
    return;
  }
  json body = { { "outcomes", aListing->mRows } };
  if (goesOn) {
    body["more_from"] = aResult.mRows.back().mKey;
  }
  aListing->mCall.Answer(200, body);
}

void
AdminOutcomePages::ServeSettle(const AdminCall& aCall)
{
  const std::string row = aCall.Text("row");
  const std::string verdict = aCall.Text("verdict");
  const std::string reason = aCall.Text("reason");
  if (row.rfind(kOutcomeRowsFrom, 0) != 0) {
    aCall.Refuse({ ReasonCode::Invalid, "row: must be a listed row" });
    return;
  }
  if (verdict != "ran" && verdict != "not_run") {
    aCall.Refuse(
      { ReasonCode::Invalid, "verdict: must be \"ran\" or \"not_run\"" });
    return;
  }
  if (reason.find_first_not_of(" \t\r\n") == std::string::npos) {
    aCall.Refuse({ ReasonCode::Invalid, "reason: must not be blank" });
    return;
  }
  mPlatform.ReadRow(row,
                    [this, alive = mAlive, aCall](const ScanResult& aResult) {
                      if (*alive) {
                        OnRow(aCall, aResult);
                      }
                    });
}

void
AdminOutcomePages::OnRow(const AdminCall& aCall, const ScanResult& aResult)
{
  if (!aResult.mReached) {
    aCall.Refuse({ ReasonCode::Unreachable, "the platform doesn't answer" });
    return;
  }
  auto row = aResult.mRows.empty()
               ? std::nullopt
               : DecodeOutcomeRow(aResult.mRows.front().mValue);
  if (!row) {
    aCall.Refuse({ ReasonCode::NotFound, "row: does not exist" });
    return;
  }
  if (!IsInDoubt(*row)) {
    aCall.Refuse(
      { ReasonCode::Conflict,
        "row: is not in doubt, but " + std::string(ToName(row->mState)) });
    return;
  }
  if (row->mState == OutcomeRowState::Claimed && MayStillRun(*row)) {
    aCall.Refuse({ ReasonCode::Conflict,
                   "row: the entry that claimed it lives and may run it" });
    return;
  }
  const bool ran = aCall.Text("verdict") == "ran";
  row->mState = ran ? OutcomeRowState::Settled : OutcomeRowState::NotRun;
  row->mOperator = aCall.Operator();
  row->mReason = aCall.Text("reason");
  row->mWrittenAt = detail::UnixNow();
  if (ran) {
    const json body = { { "error",
                          { { "code", "already_ran" },
                            { "message", "settled: " + row->mReason } } } };
    row->mKept = KeptOutcome{ kSettledStatus,
                              body.dump(),
                              { { "content-type", "application/json" } } };
  }
  const std::string& key = aResult.mRows.front().mKey;
  Log::Info("outcome_settled")
    .Field("operator", aCall.Operator())
    .Field("row", key)
    .Field("state", ToName(row->mState))
    .Field("reason", row->mReason);
  mPlatform.Commit(
    { { { key, aResult.mRows.front().mVersion } },
      { { key, EncodeOutcomeRow(*row) } } },
    [aCall](const TransactionResult& aWritten) {
      switch (aWritten.mEnd) {
        case TransactionEnd::Committed:
          aCall.Answer(200, { { "settled", true } });
          return;
        case TransactionEnd::Conflict:
          aCall.Refuse({ ReasonCode::Conflict, "row: changed meanwhile" });
          return;
        case TransactionEnd::InDoubt:
          aCall.Refuse({ ReasonCode::InDoubt, "list the rows to see" });
          return;
        default:
          aCall.Refuse({ ReasonCode::Unreachable, aWritten.mReason });
      }
    });
}

} // namespace peridothoist
