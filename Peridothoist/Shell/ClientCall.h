/// One call on a libcurl easy handle: its options, its callbacks and what is
/// known of its end.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>

#include <curl/curl.h>

namespace peridothoist::detail {

/// One call in progress. Runs libcurl's callbacks.
class ClientCall
{
public:
  /// Makes a call; null when libcurl has no memory.
  static std::unique_ptr<ClientCall> Create(
    HttpClient::CallId aId,
    HttpCall aCall,
    std::shared_ptr<HttpCallListener> aListener);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  /// The call that an easy handle belongs to.
  static ClientCall& Of(CURL* aHandle);

  /// How it ended, from libcurl's result.
  HttpCallOutcome Outcome(CURLcode aResult) const;

  HttpClient::CallId Id() const { return mId; }
  CURL* Handle() const { return mHandle; }
  const std::shared_ptr<HttpCallListener>& Listener() const
  {
    return mListener;
  }

  /// No more callbacks reach the listener; libcurl's next one ends the call.
  void MarkCancelled() { mCancelled = true; }

  // Backpressure. The pause takes effect with the next data.
  void MarkPaused() { mPaused = true; }
  void MarkResumed() { mPaused = false; }
  /// Makes libcurl deliver data again, unless a pause is wished for or none
  /// took effect. Must not be called inside a libcurl callback.
  void Unpause();

private:
  ClientCall(HttpClient::CallId aId,
             HttpCall aCall,
             std::shared_ptr<HttpCallListener> aListener,
             CURL* aHandle);

  void SetOptions();
  void SetMethod();
  void SetHeaders();
  std::size_t OnHeaderLine(std::string_view aLine);

  static int OnSocketMade(void* aSelf,
                          curl_socket_t aSocket,
                          curlsocktype aPurpose);
  static int OnBeforeSend(void* aSelf,
                          char* aRemoteAddress,
                          char* aLocalAddress,
                          int aRemotePort,
                          int aLocalPort);
  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aSelf);
  static std::size_t OnData(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf);

  HttpClient::CallId mId;
  HttpCall mCall; ///< libcurl reads the body from here.
  std::shared_ptr<HttpCallListener> mListener;
  CURL* mHandle;
  curl_slist* mHeaderList = nullptr;

  // The answer so far.
  int mStatus = 0;
  HttpHeaders mHeaders;
  bool mHeadDone = false; ///< What header lines follow are trailers.

  // Where the call stands.
  bool mMayHaveBeenSent = false;
  bool mWithheld = false;
  bool mCancelled = false;
  bool mPaused = false;        ///< The listener wants no data.
  bool mLibraryPaused = false; ///< libcurl was told so.
};

} // namespace peridothoist::detail
