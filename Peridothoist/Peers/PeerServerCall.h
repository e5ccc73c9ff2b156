/// One call received from a peer: accepted on one of gRPC's threads, handled on
/// the reactor's thread and finished exactly once.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerServer.h>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <mutex>
#include <unordered_set>

namespace peridothoist::detail {

/// A call independent of its message types.
class OpenPeerCall
{
public:
  virtual ~OpenPeerCall() = default;

  /// Fails the call unless it is already finished. Thread-safe.
  virtual void Fail(const grpc::Status& aStatus) = 0;
};

/// The open calls of a server, so that it can finish them when it stops.
class OpenPeerCalls
{
public:
  /// Adds a call; returns false if the server is stopping. Thread-safe.
  bool Add(const std::shared_ptr<OpenPeerCall>& aCall)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsStopping) {
      return false;
    }
    mCalls.insert(aCall);
    return true;
  }

  /// Removes a call. Thread-safe.
  void Remove(const std::shared_ptr<OpenPeerCall>& aCall)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCalls.erase(aCall);
  }

  /// Rejects further calls and returns the open ones. Thread-safe.
  std::unordered_set<std::shared_ptr<OpenPeerCall>> Stop()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsStopping = true;
    return mCalls;
  }

private:
  std::mutex mMutex;
  bool mIsStopping = false;
  std::unordered_set<std::shared_ptr<OpenPeerCall>> mCalls;
};

/// A unary call. The list of open calls keeps it alive until gRPC is done with
/// it.
template<typename Request, typename Reply>
class PeerServerCall
  : public grpc::ServerUnaryReactor
  , public OpenPeerCall
  , public std::enable_shared_from_this<PeerServerCall<Request, Reply>>
{
public:
  PeerServerCall(std::shared_ptr<OpenPeerCalls> aOpenCalls,
                 const Request* aRequest,
                 Reply* aReply)
    : mOpenCalls(std::move(aOpenCalls))
    , mRequest(aRequest)
    , mReply(aReply)
  {
  }

  /// Returns the request; valid until the call is finished.
  const Request& GetRequest() const { return *mRequest; }

  /// Returns whether the peer cancelled the call or its connection was lost.
  bool IsCancelled() const { return mIsCancelled; }

  /// Returns the function through which the handler replies. The call fails if
  /// its last copy is destroyed without a reply.
  PeerResponder<Reply> MakeResponder()
  {
    auto failOnDrop = std::make_shared<FailOnDrop>(this->shared_from_this());
    return [failOnDrop](Reply aReply) {
      failOnDrop->mCall->SendReply(std::move(aReply));
    };
  }

  // See: OpenPeerCall
  void Fail(const grpc::Status& aStatus) override
  {
    if (!mIsFinished.exchange(true)) {
      Finish(aStatus);
    }
  }

  // See: grpc::ServerUnaryReactor
  void OnCancel() override { mIsCancelled = true; }
  void OnDone() override { mOpenCalls->Remove(this->shared_from_this()); }

private:
  struct FailOnDrop
  {
    explicit FailOnDrop(std::shared_ptr<PeerServerCall> aCall)
      : mCall(std::move(aCall))
    {
    }
    ~FailOnDrop()
    {
      mCall->Fail(
        { grpc::StatusCode::UNAVAILABLE, "the handler sent no reply" });
    }
    FailOnDrop(const FailOnDrop&) = delete;
    FailOnDrop& operator=(const FailOnDrop&) = delete;

    std::shared_ptr<PeerServerCall> mCall;
  };

  void SendReply(Reply aReply)
  {
    if (aReply.ByteSizeLong() > kMaxMessageBytes) {
      Fail({ grpc::StatusCode::RESOURCE_EXHAUSTED,
             "the reply exceeds the message size limit" });
      return;
    }
    if (!mIsFinished.exchange(true)) {
      *mReply = std::move(aReply);
      Finish(grpc::Status::OK);
    }
  }

  std::shared_ptr<OpenPeerCalls> mOpenCalls;
  const Request* mRequest; ///< Owned by gRPC; valid until finished.
  Reply* mReply;           ///< Owned by gRPC; valid until finished.
  std::atomic<bool> mIsFinished{ false }; ///< Set before Finish() is called.
  std::atomic<bool> mIsCancelled{ false };
};

} // namespace peridothoist::detail
