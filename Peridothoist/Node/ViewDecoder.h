/// Interface to a deployment's row format: decodes rows to the configuration
/// and the upstreams.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Relay/RelayConfiguration.h>
#include <Peridothoist/Relay/UpstreamList.h>

namespace peridothoist {

/// Decodes rows of the store. For invalid input, the methods return null or
/// nullopt and set aReason.
class ViewDecoder
{
public:
  virtual ~ViewDecoder() = default;

  /// Names of the tables that hold the configuration and the upstreams.
  virtual std::string ConfigurationTable() const = 0;
  virtual std::string UpstreamTable() const = 0;

  /// Decodes the configuration from the rows of its table.
  virtual std::shared_ptr<const RelayConfiguration> DecodeConfiguration(
    const std::vector<StoredRow>& aRows,
    Reason* aReason) const = 0;

  /// Decodes the row of one upstream.
  virtual std::optional<RelayUpstream> DecodeUpstream(
    const StoredRow& aRow,
    Reason* aReason) const = 0;
};

} // namespace peridothoist
