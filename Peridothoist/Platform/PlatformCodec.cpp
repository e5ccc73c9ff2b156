/// Encodes requests to the platform and decodes its responses.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/PlatformCodec.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cctype>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;

bool
IsCompleteWithStatus(const HttpCallResult& aCallResult, int aStatus)
{
  return aCallResult.mFailure == CallFailure::None &&
         aCallResult.mStatus == aStatus;
}

std::string
GetString(const json& aJson, const char* aName)
{
  const auto it = aJson.find(aName);
  return it != aJson.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

std::uint64_t
GetNumber(const json& aJson, const char* aName)
{
  const auto it = aJson.find(aName);
  return it != aJson.end() && it->is_number_unsigned()
           ? it->get<std::uint64_t>()
           : 0;
}

bool
GetBool(const json& aJson, const char* aName)
{
  const auto it = aJson.find(aName);
  return it != aJson.end() && it->is_boolean() && it->get<bool>();
}

TransactionStatus
StatusWithoutResult(const HttpCallResult& aCallResult)
{
  if (!aCallResult.mMayHaveBeenSent) {
    return TransactionStatus::NotReached;
  }
  const int status = aCallResult.mStatus;
  const bool isClientError = aCallResult.mFailure == CallFailure::None &&
                             status >= kHttpBadRequest &&
                             status < kHttpServerError;
  if (!isClientError || status == kHttpConflict) {
    return TransactionStatus::InDoubt;
  }
  return status == kHttpTooManyRequests ? TransactionStatus::NotReached
                                        : TransactionStatus::Refused;
}

} // namespace

const char*
ToName(TransactionStatus aStatus)
{
  static constexpr std::array<const char*, 5> kNames = {
    "committed", "conflict", "refused", "not_reached", "in_doubt"
  };
  return kNames[static_cast<std::size_t>(aStatus)];
}

std::string
EncodeTransaction(const TableTransaction& aTransaction)
{
  json conditions = json::array();
  for (const RowCondition& it : aTransaction.mConditions) {
    conditions.push_back({ { "key", it.mKey }, { "version", it.mVersion } });
  }
  json writes = json::array();
  for (const RowWrite& it : aTransaction.mWrites) {
    writes.push_back(
      { { "key", it.mKey },
        { "value", it.mValue ? json(*it.mValue) : json(nullptr) } });
  }
  const json body = { { "conditions", std::move(conditions) },
                      { "writes", std::move(writes) } };
  return body.dump();
}

TransactionResult
DecodeTransaction(const HttpCallResult& aCallResult, const std::string& aBody)
{
  TransactionResult result;
  result.mReason = aCallResult.mReason;
  const json body = json::parse(aBody, nullptr, false);
  if (IsCompleteWithStatus(aCallResult, kHttpOk) && body.is_object() &&
      GetBool(body, "committed")) {
    result.mStatus = TransactionStatus::Committed;
    result.mRevision = GetNumber(body, "revision");
    return result;
  }
  if (IsCompleteWithStatus(aCallResult, kHttpConflict) && body.is_object() &&
      !GetBool(body, "committed")) {
    result.mStatus = TransactionStatus::Conflict;
    result.mConflictKey = GetString(body, "conflict");
    result.mConflictVersion = GetNumber(body, "version");
    return result;
  }
  result.mStatus = StatusWithoutResult(aCallResult);
  if (result.mReason.empty()) {
    result.mReason = "status " + std::to_string(aCallResult.mStatus);
  }
  return result;
}

ScanResult
DecodeScan(const HttpCallResult& aCallResult, const std::string& aBody)
{
  ScanResult result;
  const json body = json::parse(aBody, nullptr, false);
  if (!IsCompleteWithStatus(aCallResult, kHttpOk) || !body.is_object() ||
      !body.contains("rows") || !body["rows"].is_array()) {
    return result;
  }
  for (const json& it : body["rows"]) {
    if (!it.is_object() || GetNumber(it, "version") == 0) {
      return result;
    }
    result.mRows.push_back({ GetString(it, "key"),
                             GetString(it, "value"),
                             GetNumber(it, "version") });
  }
  result.mIsSuccessful = true;
  result.mRevision = GetNumber(body, "revision");
  result.mHasMore = GetBool(body, "more");
  return result;
}

ObjectResult
DecodeObject(const HttpCallResult& aCallResult, std::string aBody)
{
  ObjectResult result;
  result.mIsFound = IsCompleteWithStatus(aCallResult, kHttpOk);
  result.mIsSuccessful =
    result.mIsFound || IsCompleteWithStatus(aCallResult, kHttpNotFound);
  if (result.mIsFound) {
    result.mBody = std::move(aBody);
  }
  return result;
}

VmListResult
DecodeVmList(const HttpCallResult& aCallResult, const std::string& aBody)
{
  VmListResult result;
  const json body = json::parse(aBody, nullptr, false);
  if (!IsCompleteWithStatus(aCallResult, kHttpOk) || !body.is_object() ||
      !body.contains("vms") || !body["vms"].is_array()) {
    return result;
  }
  result.mIsSuccessful = true;
  for (const json& it : body["vms"]) {
    if (!it.is_object()) {
      continue;
    }
    Member member;
    member.mVm = GetString(it, "vm");
    member.mZone = GetString(it, "zone");
    member.mEntryAddress = GetString(it, "entry_address");
    member.mEntryPeer = GetString(it, "entry_peer");
    member.mControlPeer = GetString(it, "control_peer");
    member.mState =
      MemberStateFromName(GetString(it, "state")).value_or(MemberState::Live);
    if (!member.mVm.empty() && !member.mZone.empty() &&
        !member.mControlPeer.empty()) {
      result.mVms.push_back(std::move(member));
    }
  }
  return result;
}

std::string
EncodeQueryValue(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (char it : aText) {
    const auto c = static_cast<unsigned char>(it);
    if (std::isalnum(c) != 0 || it == '-' || it == '_' || it == '.' ||
        it == '~' || it == '/') {
      text += it;
    } else {
      text += '%';
      text += kDigits[c >> 4];
      text += kDigits[c & 15];
    }
  }
  return text;
}

} // namespace peridothoist
