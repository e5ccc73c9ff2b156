/// One call that came in from a peer: taken on one of gRPC's threads, answered
/// on the reactor's, finished exactly once whatever happens in between.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerServer.h>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <mutex>
#include <unordered_set>

namespace peridothoist::detail {

/// A call without its message types.
class OpenPeerCall
{
public:
  virtual ~OpenPeerCall() = default;

  /// Fails the call unless it is finished already. Any thread.
  virtual void Fail(const grpc::Status& aStatus) = 0;
};

/// The calls that a server has open, so that it can end them when it stops.
class OpenPeerCalls
{
public:
  /// Notes a call; false when the server stops. Any thread.
  bool Add(const std::shared_ptr<OpenPeerCall>& aCall)
  {
    const std::lock_guard<std::mutex> lock(mLock);
    if (mStopping) {
      return false;
    }
    mCalls.insert(aCall);
    return true;
  }

  /// Forgets a call. Any thread.
  void Remove(const std::shared_ptr<OpenPeerCall>& aCall)
  {
    const std::lock_guard<std::mutex> lock(mLock);
    mCalls.erase(aCall);
  }

  /// Takes no more calls, and gives those that are open.
  std::unordered_set<std::shared_ptr<OpenPeerCall>> Stop()
  {
    const std::lock_guard<std::mutex> lock(mLock);
    mStopping = true;
    return mCalls;
  }

private:
  std::mutex mLock;
  bool mStopping = false;
  std::unordered_set<std::shared_ptr<OpenPeerCall>> mCalls;
};

/// A unary call. Kept alive by the list of open calls until gRPC is done.
template<typename Request, typename Reply>
class PeerServerCall
  : public grpc::ServerUnaryReactor
  , public OpenPeerCall
  , public std::enable_shared_from_this<PeerServerCall<Request, Reply>>
{
public:
  PeerServerCall(std::shared_ptr<OpenPeerCalls> aOpen,
                 const Request* aRequest,
                 Reply* aReply)
    : mOpen(std::move(aOpen))
    , mRequest(aRequest)
    , mReply(aReply)
  {
  }

  /// The request; only until the call is finished.
  const Request& GetRequest() const { return *mRequest; }

  /// The caller gave up, or its connection is gone.
  bool IsCancelled() const { return mCancelled; }

  /// What the handler answers through. Fails the call when its last copy goes
  /// unused.
  PeerAnswer<Reply> MakeAnswer()
  {
    auto drop = std::make_shared<FailOnDrop>(this->shared_from_this());
    return [drop](Reply aReply) { drop->mCall->Answer(std::move(aReply)); };
  }

  // See: OpenPeerCall
  void Fail(const grpc::Status& aStatus) override
  {
    if (!mFinished.exchange(true)) {
      Finish(aStatus);
    }
  }

  // See: grpc::ServerUnaryReactor
  void OnCancel() override { mCancelled = true; }
  void OnDone() override { mOpen->Remove(this->shared_from_this()); }

private:
  struct FailOnDrop
  {
    explicit FailOnDrop(std::shared_ptr<PeerServerCall> aCall)
      : mCall(std::move(aCall))
    {
    }
    ~FailOnDrop()
    {
      mCall->Fail({ grpc::StatusCode::UNAVAILABLE, "no answer was made" });
    }
    FailOnDrop(const FailOnDrop&) = delete;
    FailOnDrop& operator=(const FailOnDrop&) = delete;

    std::shared_ptr<PeerServerCall> mCall;
  };

  void Answer(Reply aReply)
  {
    if (aReply.ByteSizeLong() > kMaxMessageBytes) {
      Fail({ grpc::StatusCode::RESOURCE_EXHAUSTED,
             "the answer is over the largest message" });
      return;
    }
    if (!mFinished.exchange(true)) {
      *mReply = std::move(aReply);
      Finish(grpc::Status::OK);
    }
  }

  std::shared_ptr<OpenPeerCalls> mOpen;
  const Request* mRequest;              ///< gRPC's, until the call is finished.
  Reply* mReply;                        ///< gRPC's, until the call is finished.
  std::atomic<bool> mFinished{ false }; ///< Finish() was called or is about to.
  std::atomic<bool> mCancelled{ false };
};

} // namespace peridothoist::detail
