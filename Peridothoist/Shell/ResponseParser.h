/// Decides what counts as a response, by the grammar of RFC 9110 and 9112.
///
/// Whoever fetches the bytes, such as libcurl, passes them on as they came. A
/// head is checked whole before any of it is used, and the body ends where this
/// parser says. Nothing is guessed: a head that leaves open where the body ends
/// is an error, since each reader may take another end. docs/UPSTREAMS.md has
/// what is accepted where the grammar leaves a choice.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ChunkDecoder.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/ResponseHead.h>

namespace peridothoist::detail {

/// Parses one response with the interim ones before it.
class ResponseParser
{
public:
  /// aMethod: of the request.
  explicit ResponseParser(std::string_view aMethod);

  /// Takes the next line of a head, together with its end.
  void TakeHeadLine(std::string_view aLine);

  /// Takes the next bytes after the head. Returns the part of the body that
  /// they hold, which is valid until the next call.
  std::string_view TakeBody(std::string_view aBytes);

  /// Returns why the bytes are no response; null: they are one so far. After an
  /// error the connection can't be used further.
  const char* Error() const { return mError; }

  /// Returns whether the head of the final response is complete and valid.
  bool HasHead() const { return mHasHead; }
  /// Returns the status of the final response; 0 without HasHead().
  int Status() const { return mHasHead ? mStatus : 0; }
  /// Returns the headers. Values that are stated several times are joined with
  /// commas. Only valid with HasHead().
  const HttpHeaders& Headers() const { return mHeaders; }

  /// Returns whether the response is whole, provided that the connection has
  /// ended in order if the body ends with it.
  bool IsComplete() const;

  /// Returns whether bytes came after the response. They belong to no request.
  bool HasExcess() const { return mHasExcess; }

private:
  const char* TakeStatusLine(std::string_view aLine);
  const char* TakeField(std::string_view aLine);
  const char* FinishHead();
  const char* DecideFraming();
  std::string_view DecodeChunks(std::string_view aBytes);

  bool mIsHeadRequest;
  bool mIsConnectRequest;
  const char* mError = nullptr;

  // The head so far
  std::size_t mHeadBytes = 0; ///< Of all heads.
  bool mHasStatusLine = false;
  bool mHasHead = false;
  bool mIsHttp10 = false;
  int mStatus = 0;
  HttpHeaders mHeaders;

  // The body so far
  BodyFraming mFraming = BodyFraming::None;
  std::uint64_t mBytesLeft = 0; ///< With BodyFraming::Length.
  ChunkDecoder mChunks;
  std::string mDecoded; ///< By the last call.
  bool mHasExcess = false;
};

} // namespace peridothoist::detail
