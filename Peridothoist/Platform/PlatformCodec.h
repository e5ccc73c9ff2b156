/// Encodes requests to the platform and decodes its responses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// Encodes the request body of a transaction.
std::string
EncodeTransaction(const TableTransaction& aTransaction);

/// Decodes the response to a transaction. Once a byte was sent, the transaction
/// is in doubt unless the response is conclusive; a 503 is not conclusive.
TransactionResult
DecodeTransaction(const HttpCallResult& aCallResult, const std::string& aBody);

ScanResult
DecodeScan(const HttpCallResult& aCallResult, const std::string& aBody);

ObjectResult
DecodeObject(const HttpCallResult& aCallResult, std::string aBody);

/// Decodes the list of VMs; skips entries without a name, a zone or a control
/// address.
VmListResult
DecodeVmList(const HttpCallResult& aCallResult, const std::string& aBody);

/// Percent-encodes a text for use in a URL's path or query.
std::string
EncodeQueryValue(std::string_view aText);

} // namespace peridothoist
