/// Bodies of the platform's calls and answers.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// The body of a transaction's call.
std::string
EncodeTransaction(const TableTransaction& aTransaction);

/// What a transaction's answer says. Anything but a clear answer is in doubt
/// once a byte was sent; a 503 is not a clear answer.
TransactionResult
DecodeTransaction(const HttpCallOutcome& aOutcome, const std::string& aBody);

ScanResult
DecodeScan(const HttpCallOutcome& aOutcome, const std::string& aBody);

ObjectResult
DecodeObject(const HttpCallOutcome& aOutcome, std::string aBody);

/// Entries of the list without a name, zone or control address are left out.
VmListResult
DecodeVmList(const HttpCallOutcome& aOutcome, const std::string& aBody);

/// A text as part of a URL's query.
std::string
EncodeQueryValue(std::string_view aText);

} // namespace peridothoist
