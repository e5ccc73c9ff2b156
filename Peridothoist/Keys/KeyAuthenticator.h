/// Holds the keys of one view and authenticates callers by their keys.
///
/// A digest is one SHA-256 over a salt and a 256-bit random secret. Such a
/// secret can't be guessed, so no slow hash is needed, and no cache of results
/// that would have to be cleared when a key is withdrawn.
///
/// Suspensions: while a commit that withdraws keys is in doubt, these keys are
/// refused. A suspension ends only when
///   - its commit is settled either way (Settle()), or
///   - the view reaches the version that the commit would have made. Then
///     either the commit has taken effect and the keys are withdrawn, or
///     another commit has made that version and this one can't take effect any
///     more.
/// A suspension never ends by age. One that has lasted longer than
/// `mSettleAfter` is listed by Overdue(), so that a control process settles
/// it: first by reading the operation's row, then, if that is absent, by
/// committing an empty change, which occupies the version.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <deque>
#include <set>

namespace peridothoist {

/// Identity of a caller, as found by Authenticate().
struct KeyIdentity
{
  std::string mKeyName;
  std::string mWorkspace;
  std::string mDigest; ///< Differs from that of a later key of the same name.
};

/// Keys that are refused until a commit in doubt is settled.
struct KeySuspension
{
  std::string mOperationId;
  std::uint64_t mVersion = 0; ///< Version the commit would make; 0: unknown.
  std::vector<std::string> mKeyNames;
  Duration mAge{ 0 }; ///< Time since the commit has been in doubt.
};

/// Limits of a KeyAuthenticator.
struct KeyAuthenticatorSettings
{
  std::size_t mMaxSuspensions = 1024; ///< Commits in doubt at one time.
  std::size_t mMaxSettled = 4096;     ///< Limit of the stored settled ids.
  /// Age from which Overdue() lists a suspension.
  Duration mSettleAfter = std::chrono::seconds(10);
};

/// Holds the keys of the current view and the suspensions.
class KeyAuthenticator
{
public:
  using Settings = KeyAuthenticatorSettings;

  explicit KeyAuthenticator(const Settings& aSettings);

  /// Sets the keys of a view, and ends suspensions whose version it has
  /// reached. Returns false and does nothing when the version is older than
  /// the current one.
  bool SetKeys(std::uint64_t aVersion,
               const std::map<std::string, KeyRecord>& aKeys);

  /// Returns the identity of a caller that sent the key aText. Otherwise
  /// returns nullopt with the reason Invalid (malformed), Refused (unknown,
  /// wrong or withdrawn, which are not distinguished) or InDoubt (suspended).
  std::optional<KeyIdentity> Authenticate(std::string_view aText,
                                          Reason* aReason) const;

  /// Returns whether an identity that Authenticate() returned is still valid.
  /// Called directly before a request is dispatched.
  bool IsStillValid(const KeyIdentity& aIdentity, Reason* aReason) const;

  /// Refuses keys until the commit is settled. Has no effect if the commit is
  /// already settled or the view has reached its version. Returns false when
  /// there are too many suspensions; the commit must then not be sent.
  bool Suspend(const KeySuspension& aSuspension, TimePoint aNow);

  /// Called when a commit is known to have taken effect, or known never to take
  /// effect. Ends its suspension, and ignores it if a peer sends it again.
  void Settle(const std::string& aOperationId);

  /// Returns all suspensions with their current ages, to send to peers.
  std::vector<KeySuspension> Suspensions(TimePoint aNow) const;

  /// Returns the suspensions that have lasted longer than mSettleAfter.
  std::vector<KeySuspension> Overdue(TimePoint aNow) const;

  std::uint64_t Version() const { return mVersion; }

private:
  struct HeldSuspension
  {
    KeySuspension mSuspension;
    TimePoint mSince; ///< Never increases once set.
  };

  bool IsSuspended(std::string_view aKeyName) const;
  bool IsSettled(const KeySuspension& aSuspension) const;
  KeySuspension WithCurrentAges(const HeldSuspension& aHeld,
                                TimePoint aNow) const;

  Settings mSettings;
  std::uint64_t mVersion = 0; ///< Never decreases.
  std::map<std::string, KeyRecord, std::less<>> mKeys;
  std::map<std::string, HeldSuspension> mSuspensions; ///< By operation id.

  // Ids of settled operations, oldest first, and the same ids as a set.
  std::deque<std::string> mSettledInOrder;
  std::set<std::string> mSettled;
};

} // namespace peridothoist
