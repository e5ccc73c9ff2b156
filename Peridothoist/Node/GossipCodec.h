/// Encodes and decodes the messages between VMs, as CBOR. Decoders return
/// nullopt if the bytes are not a valid message of that type.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/GossipSummary.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/ViewExchange.h>

namespace peridothoist {

std::string
EncodeGossipMessage(const GossipMessage& aMessage);

std::optional<GossipMessage>
DecodeGossipMessage(std::string_view aBytes);

std::string
EncodeGossipSummary(const GossipSummary& aSummary);

std::optional<GossipSummary>
DecodeGossipSummary(std::string_view aBytes);

std::string
EncodeViewQuery(const ViewQuery& aQuery);
std::optional<ViewQuery>
DecodeViewQuery(std::string_view aBytes);

std::string
EncodeViewResponse(const ViewResponse& aResponse);
std::optional<ViewResponse>
DecodeViewResponse(std::string_view aBytes);

} // namespace peridothoist
