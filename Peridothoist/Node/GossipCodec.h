/// Encodes and decodes the messages between VMs, as CBOR. Decoders return
/// nullopt if the bytes are not a valid message of that type.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/ViewShare.h>

namespace peridothoist {

std::string
EncodeGossipMessage(const VmNews& aMessage);

std::optional<VmNews>
DecodeGossipMessage(std::string_view aBytes);

std::string
EncodeViewQuery(const ViewAsk& aQuery);
std::optional<ViewAsk>
DecodeViewQuery(std::string_view aBytes);

std::string
EncodeViewResponse(const ViewTell& aResponse);
std::optional<ViewTell>
DecodeViewResponse(std::string_view aBytes);

} // namespace peridothoist
