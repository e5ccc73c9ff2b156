/// Table rows of requests that must not run twice.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeRow.h>

#include <Peridothoist/Keys/CallerKey.h>

#include <nlohmann/json.hpp>

#include <array>

namespace peridothoist {

namespace {

using nlohmann::json;

/// Longer bodies are stored in the object store.
constexpr std::size_t kMaxRowBodyBytes = 16 * 1024;

constexpr std::array<const char*, 5> kStateNames = { "claimed",
                                                     "not_run",
                                                     "may_have_run",
                                                     "done",
                                                     "settled" };

/// Serializes JSON; drops bytes that are not valid UTF-8.
std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::ignore);
}

std::string
GetString(const json& aJson, const char* aName)
{
  const auto it = aJson.find(aName);
  return it != aJson.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

std::optional<StoredOutcome>
DecodeStoredOutcome(const json& aJson)
{
  const auto status = aJson.find("status");
  if (status == aJson.end() || !status->is_number_integer()) {
    return std::nullopt;
  }
  StoredOutcome outcome;
  outcome.mStatus = status->get<int>();
  outcome.mBody = GetString(aJson, "body");
  const auto headers = aJson.find("headers");
  if (headers != aJson.end() && headers->is_object()) {
    for (const auto& entry : headers->items()) {
      if (entry.value().is_string()) {
        outcome.mHeaders[entry.key()] = entry.value().get<std::string>();
      }
    }
  }
  return outcome;
}

} // namespace

const char*
ToName(OutcomeRowState aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

std::optional<OutcomeRowState>
OutcomeRowStateFromName(std::string_view aName)
{
  for (std::size_t n = 0; n < kStateNames.size(); ++n) {
    if (aName == kStateNames[n]) {
      return static_cast<OutcomeRowState>(n);
    }
  }
  return std::nullopt;
}

std::string
OutcomeRowKey(const std::string& aWorkspace, const std::string& aIdempotencyKey)
{
  return kOutcomeRowsBegin + aWorkspace + "/" +
         DigestKey(aWorkspace, aIdempotencyKey);
}

std::string
EncodeOutcomeRow(const OutcomeRow& aRow)
{
  json value = { { "state", ToName(aRow.mState) },
                 { "digest", aRow.mRequestDigest },
                 { "attempt", aRow.mAttemptId },
                 { "at", aRow.mWrittenAt } };
  if (aRow.mStoredOutcome) {
    value["status"] = aRow.mStoredOutcome->mStatus;
    value["headers"] = aRow.mStoredOutcome->mHeaders;
    if (aRow.mObjectName.empty()) {
      value["body"] = aRow.mStoredOutcome->mBody;
    }
  }
  if (!aRow.mObjectName.empty()) {
    value["object"] = aRow.mObjectName;
  }
  if (!aRow.mReason.empty()) {
    value["reason"] = aRow.mReason;
    value["operator"] = aRow.mOperator;
  }
  return Dump(value);
}

std::optional<OutcomeRow>
DecodeOutcomeRow(std::string_view aText)
{
  const json value = json::parse(aText, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto state = OutcomeRowStateFromName(GetString(value, "state"));
  if (!state) {
    return std::nullopt;
  }
  OutcomeRow row;
  row.mState = *state;
  row.mRequestDigest = GetString(value, "digest");
  row.mAttemptId = GetString(value, "attempt");
  row.mObjectName = GetString(value, "object");
  row.mReason = GetString(value, "reason");
  row.mOperator = GetString(value, "operator");
  row.mStoredOutcome = DecodeStoredOutcome(value);
  const auto at = value.find("at");
  if (at != value.end() && at->is_number_unsigned()) {
    row.mWrittenAt = at->get<std::uint64_t>();
  }
  return row;
}

bool
FitsOutcomeRow(const std::string& aBody)
{
  return aBody.size() <= kMaxRowBodyBytes &&
         json::parse(Dump(json(aBody)), nullptr, false) == json(aBody);
}

} // namespace peridothoist
