#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewCodec.h>

#include <Peridothoist/Node/CborMessage.h>

#include <algorithm>

namespace peridothoist {

namespace {

using detail::FromCbor;
using detail::ToCbor;
using nlohmann::json;

RelayStage
StageOf(int aNumber)
{
  const bool known =
    aNumber >= 0 && aNumber <= static_cast<int>(RelayStage::Decode);
  if (!known) {
    throw json::other_error::create(0, "unknown stage", nullptr);
  }
  return static_cast<RelayStage>(aNumber);
}

std::vector<StoredRow>
ParseRows(const json& aValue)
{
  std::vector<StoredRow> rows;
  for (const json& it : aValue) {
    rows.push_back({ it.at(0).get<std::string>(),
                     it.at(1).get<std::string>(),
                     { it.at(2).get<std::uint64_t>(), 0 } });
  }
  return rows;
}

json
RowsToJson(const std::vector<StoredRow>& aRows)
{
  json rows = json::array();
  for (const StoredRow& it : aRows) {
    rows.push_back(json::array({ it.mKey, it.mValue, it.mVersion.mNumber }));
  }
  return rows;
}

SharedConfiguration
ParseConfiguration(const json& aValue)
{
  return { Duration(aValue.at(0).get<std::int64_t>()),
           ParseRows(aValue.at(1)) };
}

ConfigurationChange
ParseChange(const json& aValue)
{
  const auto& bytes = aValue.at(2).get_binary();
  return { Duration(aValue.at(0).get<std::int64_t>()),
           aValue.at(1).get<std::uint64_t>(),
           { bytes.begin(), bytes.end() } };
}

UpstreamList::Entry
ParseEntry(const json& aValue)
{
  UpstreamList::Entry entry;
  RelayUpstream& upstream = entry.mUpstream;
  upstream.mId = aValue.at(0).get<std::string>();
  upstream.mService = aValue.at(1).get<std::string>();
  upstream.mAddress = aValue.at(2).get<std::string>();
  upstream.mZone = aValue.at(3).get<std::string>();
  upstream.mStage = StageOf(aValue.at(4).get<int>());
  upstream.mSlots = aValue.at(5).get<std::uint32_t>();
  upstream.mIsLeaving = aValue.at(6).get<bool>();
  entry.mIsListedAsLeaving = upstream.mIsLeaving;
  upstream.mIncarnationId = aValue.at(7).get<std::uint64_t>();
  entry.mIsMissing = aValue.at(8).get<bool>();
  if (aValue.size() > 9) { // Older builds don't send it.
    upstream.mSoftwareVersion = aValue.at(9).get<std::string>();
  }
  if (aValue.size() > 10) {
    upstream.mColdRemaining = std::clamp(
      Duration(aValue.at(10).get<std::int64_t>()), Duration(0), kMaxColdTime);
  }
  return entry;
}

SharedUpstreams
ParseUpstreams(const json& aValue)
{
  SharedUpstreams part;
  part.mAge = Duration(aValue.at(0).get<std::int64_t>());
  for (const json& it : aValue.at(1)) {
    part.mEntries.push_back(ParseEntry(it));
  }
  return part;
}

VmRecords
ParseVms(const json& aValue)
{
  VmRecords vms;
  for (const json& it : aValue) {
    const auto name = it.at(0).get<std::string>();
    vms[name] = { name,
                  it.at(1).get<std::string>(),
                  it.at(2).get<std::string>() };
  }
  return vms;
}

} // namespace

std::string
EncodeSharedConfiguration(const SharedConfiguration& aPart)
{
  return ToCbor(json::array({ aPart.mAge.count(), RowsToJson(aPart.mRows) }));
}

std::optional<SharedConfiguration>
DecodeSharedConfiguration(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseConfiguration);
}

std::string
EncodeRows(const std::vector<StoredRow>& aRows)
{
  return ToCbor(RowsToJson(aRows));
}

std::optional<std::vector<StoredRow>>
DecodeRows(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseRows);
}

std::string
EncodeConfigurationChange(const ConfigurationChange& aChange)
{
  const std::string& rows = aChange.mCompressedRows;
  return ToCbor(json::array({ aChange.mAge.count(),
                              aChange.mBaseDigest,
                              json::binary({ rows.begin(), rows.end() }) }));
}

std::optional<ConfigurationChange>
DecodeConfigurationChange(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseChange);
}

std::string
EncodeSharedUpstreams(const SharedUpstreams& aPart)
{
  json entries = json::array();
  for (const UpstreamList::Entry& it : aPart.mEntries) {
    const RelayUpstream& upstream = it.mUpstream;
    entries.push_back(json::array({ upstream.mId,
                                    upstream.mService,
                                    upstream.mAddress,
                                    upstream.mZone,
                                    static_cast<int>(upstream.mStage),
                                    upstream.mSlots,
                                    it.mIsListedAsLeaving,
                                    upstream.mIncarnationId,
                                    it.mIsMissing,
                                    upstream.mSoftwareVersion,
                                    upstream.mColdRemaining.count() }));
  }
  return ToCbor(json::array({ aPart.mAge.count(), std::move(entries) }));
}

std::optional<SharedUpstreams>
DecodeSharedUpstreams(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseUpstreams);
}

std::string
EncodeVmRecords(const VmRecords& aVms)
{
  json vms = json::array();
  for (const auto& [name, vm] : aVms) {
    vms.push_back(json::array({ name, vm.mZone, vm.mPeerAddress }));
  }
  return ToCbor(vms);
}

std::optional<VmRecords>
DecodeVmRecords(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseVms);
}

} // namespace peridothoist
