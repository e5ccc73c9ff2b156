/// Finds the contents of requests that crash the upstreams that run them.
///
/// A content is what requests can have in common: a shared part of the prompt,
/// or the digest of the whole request. When an upstream crashes, the contents
/// of the requests that were about to be run there are suspects. A content that
/// ran soundly is excused from all crashes known so far. One that is present at
/// several crashes in a row without a sound run in between is quarantined:
/// requests with it are refused. After a while single requests are let through
/// on trial; a further crash extends the quarantine.
///
/// The evidence of several VMs is merged as a set of sightings, so that reports
/// may be lost, repeated, reordered or come back to their sender.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashReports.h>

#include <unordered_map>

namespace peridothoist {

/// Limits of CrashEvidence.
struct CrashEvidenceSettings
{
  /// Crashes in a row that lead to quarantine. Crashes of runs that overlapped
  /// in time count once: upstreams may crash together for another reason.
  std::size_t mMaxCrashes = 3;
  /// Duration of the quarantine, which each further crash multiplies.
  Duration mMinQuarantine = 30s;
  Duration mMaxQuarantine = 10min;
  std::uint32_t mQuarantineFactor = 4;
  Duration mEvidenceLifetime = 20min;
  /// Lifetime of evidence against contents that were excused from all of it.
  Duration mExcusedLifetime = 30s;
  /// Evidence that is not enough for a quarantine is reported to other VMs for
  /// this long after it last changed here.
  Duration mReportPeriod = 5s;
  std::size_t mMaxContents = 4096;
  std::size_t mMaxSightings = 8; ///< Per content, the newest.
};

/// The contents of a request.
struct RequestContents
{
  std::vector<std::string> mKeys; ///< One for each content.
  std::uint64_t mWorkspace = 0;   ///< Digest of the workspace's name.
};

/// Whether a request may be sent to upstreams.
enum class ContentVerdict
{
  Allowed,
  OnTrial,    ///< Only few such requests, to learn whether they still crash.
  Quarantined ///< Must not be sent.
};

/// Receives changes of quarantines, for logs.
class CrashEvidenceListener
{
public:
  virtual ~CrashEvidenceListener() = default;

  /// Called when a content is present at its mMaxCrashes-th crash in a row, and
  /// at each further one.
  virtual void OnContentQuarantined(const std::string& aContent,
                                    std::size_t aCrashes,
                                    Duration aRemaining) = 0;
  /// Called when a quarantined content ran soundly.
  virtual void OnContentExcused(const std::string& aContent) = 0;
};

/// Holds the evidence of this VM and of the others.
class CrashEvidence
{
public:
  using Settings = CrashEvidenceSettings;

  explicit CrashEvidence(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// aListener is not owned; null: none.
  void SetListener(CrashEvidenceListener* aListener) { mListener = aListener; }

  /// Called when an upstream crashed while a request with the content was about
  /// to be run there.
  void OnCrash(const std::string& aContent,
               const CrashSighting& aSighting,
               TimePoint aNow);

  /// Called when a request with the content ran without a crash.
  void OnSoundRun(const std::string& aContent, TimePoint aNow);

  /// Merges what another VM reported.
  void Apply(const std::vector<CrashReport>& aReports, TimePoint aNow);

  /// Returns the evidence that other VMs need.
  std::vector<CrashReport> Reports(TimePoint aNow) const;

  ContentVerdict Check(const RequestContents& aContents, TimePoint aNow) const;

  /// Drops expired evidence.
  void DropExpired(TimePoint aNow);

  /// Returns how often this VM saw a content quarantined, or its quarantine
  /// extended.
  std::uint64_t QuarantineCount() const { return mQuarantineCount; }

  bool IsEmpty() const { return mEntries.empty(); }
  std::size_t Size() const { return mEntries.size(); }

private:
  using Sightings = std::vector<CrashSighting>;

  /// What is known about one content.
  struct Entry
  {
    Sightings mSightings; ///< One for each crash and workspace.
    TimePoint mChangedAt;
  };

  void Merge(const std::string& aContent,
             const CrashSighting& aSighting,
             TimePoint aNow);
  ContentVerdict CheckOne(const std::string& aKey,
                          const RequestContents& aContents,
                          TimePoint aNow) const;
  bool IsExplainedByOther(const Sightings& aSightings,
                          const RequestContents& aContents) const;
  std::optional<TimePoint> QuarantinedUntil(const Sightings& aSightings) const;
  bool IsExpired(const Sightings& aSightings, TimePoint aNow) const;
  void MakeRoom(TimePoint aNow);

  Settings mSettings;
  CrashEvidenceListener* mListener = nullptr;
  std::uint64_t mQuarantineCount = 0;
  std::unordered_map<std::string, Entry> mEntries; ///< By content.
};

} // namespace peridothoist
