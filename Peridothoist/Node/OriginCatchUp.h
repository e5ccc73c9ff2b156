/// Lets a VM that has started ask the others for the origins that it is to
/// keep. Its registration is the same as before a restart, so nobody else
/// notices that it holds nothing.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Node/PeerSender.h>
#include <Peridothoist/Node/StreamOriginCodec.h>
#include <Peridothoist/Shell/Reactor.h>

#include <set>

namespace peridothoist {

/// Knows origins that other VMs are to keep.
class OriginKeeper
{
public:
  virtual ~OriginKeeper() = default;

  /// Sends a VM all recent origins of which it keeps a replica.
  virtual void SendKeptTo(const VmRecord& aVm) = 0;
};

/// Settings of OriginCatchUp.
struct OriginCatchUpSettings
{
  /// From the start. VMs that join later have nothing from before to tell.
  Duration mPeriod = 5s;
  /// Until a VM that has not answered is asked again; doubles each time.
  Duration mRetryInterval = 100ms;
};

/// Counts since the start.
struct OriginCatchUpCounts
{
  std::uint64_t mRequestsSent = 0; ///< Datagrams, repeats included.
  std::uint64_t mAnswered = 0;     ///< VMs that have sent what they know.
  std::uint64_t mRequestsReceived = 0;
};

/// Asks after the start of this VM, and answers VMs that have started.
class OriginCatchUp
{
public:
  using Settings = OriginCatchUpSettings;

  /// aKind: of the origins; VMs of builds that know no requests of that kind
  /// don't answer. aSelf: this VM's registration. The pointers are not owned.
  OriginCatchUp(const Settings& aSettings,
                OriginKind aKind,
                const VmRecord& aSelf,
                Reactor* aReactor,
                PeerSender* aSender,
                OriginKeeper* aKeeper);
  ~OriginCatchUp();
  OriginCatchUp(const OriginCatchUp&) = delete;
  OriginCatchUp& operator=(const OriginCatchUp&) = delete;

  /// Replaces the registered VMs. Asks those that have not been asked.
  void SetVms(const VmRecords& aVms);

  /// Handles a datagram. Returns false if it is not a message of this exchange.
  bool OnMessage(std::string_view aBytes);

  const OriginCatchUpCounts& Counts() const { return mCounts; }

private:
  void Ask();
  void OnRequest(const OriginQuery& aRequest);

  Settings mSettings;
  OriginKind mKind;
  VmRecord mSelf;
  Reactor* mReactor;
  PeerSender* mSender;
  OriginKeeper* mKeeper;
  VmRecords mVms;
  TimePoint mStartedAt;
  Duration mInterval;           ///< Until the next repeats.
  std::set<std::string> mAsked; ///< Names of VMs.
  /// Addresses of the VMs that have not answered, by the id of the request.
  std::map<std::uint64_t, std::string> mUnanswered;
  std::uint64_t mLastId;
  Reactor::TimerId mTimer = 0;
  OriginCatchUpCounts mCounts;
};

} // namespace peridothoist
