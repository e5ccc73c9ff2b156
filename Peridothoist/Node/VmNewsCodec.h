/// Encodes what VMs tell each other, as CBOR.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/MemberBook.h>

namespace peridothoist {

/// The bytes of one message.
std::string
EncodeVmNews(const VmNews& aNews);

/// The message; nothing when the bytes are none.
std::optional<VmNews>
DecodeVmNews(std::string_view aBytes);

} // namespace peridothoist
