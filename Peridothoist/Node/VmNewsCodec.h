/// Encodes what VMs tell and ask each other, as CBOR.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/ViewShare.h>

namespace peridothoist {

/// The bytes of one message.
std::string
EncodeVmNews(const VmNews& aNews);

/// The message; nothing when the bytes are none.
std::optional<VmNews>
DecodeVmNews(std::string_view aBytes);

std::string
EncodeViewAsk(const ViewAsk& aAsk);
std::optional<ViewAsk>
DecodeViewAsk(std::string_view aBytes);

std::string
EncodeViewTell(const ViewTell& aTell);
std::optional<ViewTell>
DecodeViewTell(std::string_view aBytes);

} // namespace peridothoist
