/// The keys of one view, and who a caller is by its key.
///
/// A digest is one SHA-256 over a salt and a 256-bit random secret: nothing to
/// guess, so no slow hash, and no cache of results that would have to be
/// cleared when a key is withdrawn.
///
/// Suspensions: while a commit that withdraws keys is in doubt, these keys are
/// refused. A suspension ends only when
///   - its commit was settled either way (Settle), or
///   - the view reached the version that the commit would have made: that
///     version is then held either by the commit itself, and the keys are
///     gone, or by another one, and the commit can't take effect any more.
/// It never ends by age alone. One that has lasted longer than
/// `mSettleAfter` is listed by Overdue(), for a control process to settle:
/// first by reading the operation's row, then, if that is absent, by
/// committing an empty change, which takes the version away from it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <deque>
#include <set>

namespace peridothoist {

/// Who a caller is: what Authenticate() found.
struct KeyIdentity
{
  std::string mKeyName;
  std::string mWorkspace;
  std::string mDigest; ///< Tells the key from a later one of the same name.
};

/// Keys to refuse until a commit in doubt is settled.
struct KeySuspension
{
  std::string mOperationId;
  std::uint64_t mVersion = 0; ///< That the commit would make; 0: not known.
  std::vector<std::string> mKeyNames;
  Duration mAge{ 0 }; ///< Since the doubt arose; as carried in messages.
};

/// Limits of a KeyRing.
struct KeyRingSettings
{
  std::size_t mMaxSuspensions = 1024; ///< Commits in doubt at one time.
  std::size_t mMaxSettled = 4096;     ///< Settled operations remembered.
  Duration mSettleAfter =
    std::chrono::seconds(10); ///< Then Overdue() lists it.
};

/// Holds the keys of the current view.
class KeyRing
{
public:
  using Settings = KeyRingSettings;

  explicit KeyRing(const Settings& aSettings);

  /// Takes the keys of a view. An older version than the present one is
  /// ignored and false returned. Ends suspensions that the view has passed.
  bool SetKeys(std::uint64_t aVersion,
               const std::map<std::string, KeyRecord>& aKeys);

  /// Who shows the key aText. Empty with Invalid (no key), Refused (unknown,
  /// wrong or withdrawn; not told apart) or InDoubt (suspended).
  std::optional<KeyIdentity> Authenticate(std::string_view aText,
                                          Reason* aReason) const;

  /// Whether an identity found earlier still holds; asked again directly
  /// before a request is dispatched.
  bool StillGood(const KeyIdentity& aIdentity, Reason* aReason) const;

  /// Refuses keys until the commit is settled. Ignored for a commit that is
  /// settled or passed. False when full: the caller must not commit.
  bool Suspend(const KeySuspension& aSuspension, TimePoint aNow);

  /// The commit is known to have taken effect, or known never to. Its
  /// suspension ends, and one that still comes in from a peer is ignored.
  void Settle(const std::string& aOperationId);

  /// All suspensions, with ages as of now, for peers.
  std::vector<KeySuspension> Suspensions(TimePoint aNow) const;

  /// Suspensions that have lasted longer than mSettleAfter.
  std::vector<KeySuspension> Overdue(TimePoint aNow) const;

  std::uint64_t Version() const { return mVersion; }

private:
  struct HeldSuspension
  {
    KeySuspension mSuspension;
    TimePoint mSince; ///< Never moves forward once set.
  };

  bool IsSuspended(std::string_view aKeyName) const;
  bool IsSettled(const KeySuspension& aSuspension) const;
  KeySuspension WithCurrentAges(const HeldSuspension& aHeld, TimePoint aNow) const;

  Settings mSettings;
  std::uint64_t mVersion = 0; ///< Never decreases.
  std::map<std::string, KeyRecord, std::less<>> mKeys;
  std::map<std::string, HeldSuspension> mSuspensions; ///< By operation id.

  // Settled operations, oldest first; both hold the same ids.
  std::deque<std::string> mSettledInOrder;
  std::set<std::string> mSettled;
};

} // namespace peridothoist
