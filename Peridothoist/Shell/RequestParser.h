/// Parses requests of HTTP/1.1 and 1.0 from the bytes of a connection.
///
/// What leaves open where a request ends, or how its head is to be read, is an
/// error: whoever passed the request on may have read it otherwise, and taken a
/// part of its body for a request, or the reverse. The bytes of a head are
/// checked before they are parsed, so nothing depends on what the parser makes
/// of odd ones. After an error the connection can't be used further.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist::detail {

/// The error response to a request that is rejected before the handler gets it.
struct HttpRequestError
{
  int mStatus = 0;
  const char* mType = ""; ///< Error type in the JSON response.
  std::string mMessage;
  /// The process holds too much to read the body. The handler provides the
  /// response; the other members are not set.
  bool mIsMemoryFull = false;
};

/// Parses the requests of one connection, one after the other.
class RequestParser
{
public:
  explicit RequestParser(const HttpServerSettings& aSettings);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Parses bytes from the start of aBytes, which begin where the last call
  /// stopped. Returns how many of them are consumed; the others are to be
  /// passed again together with more, or belong to the next request.
  std::size_t Parse(std::string_view aBytes);

  /// Returns whether a part of a request has been consumed.
  bool HasBegun() const;
  /// Returns whether the head is complete and valid.
  bool HasHead() const { return mHasHead; }
  /// Returns whether the request is complete and valid.
  bool IsComplete() const;
  /// Returns why the request is rejected; nullopt while it is valid.
  const std::optional<HttpRequestError>& Error() const { return mError; }

  /// Returns whether the caller waits for an interim response before it sends
  /// the body. To be asked once, when the head is complete.
  bool ExpectsContinue() const;

  bool IsHttp10() const;
  /// Returns whether the connection may be used for another request.
  bool KeepsConnection() const;
  /// Returns whether the request has the method HEAD.
  bool IsHead() const;
  const std::string& Target() const;

  /// Returns the complete request, and starts with the next one. aMemory is set
  /// to the memory that the request holds.
  HttpRequest TakeRequest(MemoryCharge* aMemory);

  /// Returns the request as far as it has been parsed.
  const HttpRequest& PartialRequest() const;

private:
  class Message;

  std::size_t ParseHead(std::string_view aBytes);
  std::size_t ParseBody(std::string_view aBytes);
  void CheckHead(std::size_t aHeadBytes);
  void Reject(int aStatus, const char* aType, std::string aMessage);
  void RejectBody();
  void RejectForMemory();

  const HttpServerSettings& mSettings;
  std::unique_ptr<Message> mMessage;
  bool mHasHead = false;
  std::size_t mScannedBytes = 0; ///< Of an incomplete head, without its end.
  std::optional<HttpRequestError> mError;
};

} // namespace peridothoist::detail
