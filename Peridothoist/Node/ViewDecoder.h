/// Turns a deployment's rows into the product's configuration and upstreams.
/// The seam behind which their format stands.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Relay/RelayConfiguration.h>
#include <Peridothoist/Relay/UpstreamRoster.h>

namespace peridothoist {

/// Decodes rows. Rows that can't be read give nothing, with a reason.
class ViewDecoder
{
public:
  virtual ~ViewDecoder() = default;

  /// The tables that hold the configuration and the upstreams.
  virtual std::string ConfigurationTable() const = 0;
  virtual std::string UpstreamTable() const = 0;

  /// The configuration, from its table's rows.
  virtual std::shared_ptr<const RelayConfiguration> DecodeConfiguration(
    const std::vector<StoredRow>& aRows,
    Reason* aReason) const = 0;

  /// One upstream.
  virtual std::optional<RelayUpstream> DecodeUpstream(
    const StoredRow& aRow,
    Reason* aReason) const = 0;
};

} // namespace peridothoist
