/// An entry's view of the system: configuration, keys, members and share plan,
/// and the freshness of all that. Updated by responses of a control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceTable.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/Request/DispatchPolicy.h>
#include <Peridothoist/View/ViewFreshness.h>

#include <peer.pb.h>

namespace peridothoist {

/// Notified when a new configuration becomes active.
class EntryViewListener
{
public:
  virtual ~EntryViewListener() = default;

  /// Called after the configuration changed.
  virtual void OnConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) = 0;
};

/// Settings of an EntryView.
struct EntryViewSettings
{
  KeyAuthenticatorSettings mKeys;
  ViewFreshnessSettings mFreshness;
  AllowanceTableSettings mAllowance;
};

/// Holds the view of one entry process and checks dispatches against it.
class EntryView : public DispatchPolicy
{
public:
  using Settings = EntryViewSettings;

  EntryView(const Settings& aSettings, const std::string& aInstance);

  /// Sets the listener, which is not owned.
  void SetListener(EntryViewListener* aListener) { mListener = aListener; }

  /// Applies a control process's response to a request sent at aSent. Returns
  /// false and sets aReason if a part of it is invalid; the valid parts are
  /// applied in that case, too.
  bool Apply(const peer::ViewUpdate& aUpdate,
             TimePoint aSent,
             TimePoint aNow,
             Reason* aReason);

  /// Returns the identity that the key aText belongs to. Returns nullopt and
  /// sets aReason if the key is not valid.
  std::optional<KeyIdentity> Authenticate(std::string_view aText,
                                          Reason* aReason) const
  {
    return mKeys.Authenticate(aText, aReason);
  }

  /// Encodes the key name and digest of an identity for Arrival::mKeyName.
  static std::string EncodeIdentity(const KeyIdentity& aIdentity);

  // See: DispatchPolicy
  std::optional<RefusalKind> CheckDispatch(const std::string& aWorkspace,
                                           const std::string& aKeyName,
                                           TimePoint aNow) override;

  const ViewFreshness& Freshness() const { return mFreshness; }
  const Configuration& Config() const { return mStore->Get(); }
  std::shared_ptr<const Configuration> SharedConfig() const;
  const std::vector<Member>& Members() const { return mMembers; }
  AllowanceTable& Shares() { return mShares; }

  /// Returns the member whose entry process is aInstance, or null if unknown.
  const Member* FindEntry(const std::string& aInstance) const;

private:
  bool ApplyConfiguration(const peer::ViewUpdate& aUpdate, Reason* aReason);
  bool ApplySnapshot(const peer::Snapshot& aSnapshot, Reason* aReason);
  bool ApplyChange(const peer::Change& aChange, Reason* aReason);
  void ApplySuspensions(const peer::ViewUpdate& aUpdate, TimePoint aNow);
  void ApplyPlan(const peer::ViewUpdate& aUpdate, TimePoint aNow);
  void ConfirmView(const peer::ViewUpdate& aUpdate, TimePoint aSent);
  void ActivateConfiguration(TimePoint aNow);

  EntryViewListener* mListener = nullptr;
  std::shared_ptr<ConfigurationStore> mStore; ///< Never null.
  KeyAuthenticator mKeys;
  ViewFreshness mFreshness;
  AllowanceTable mShares;
  std::vector<Member> mMembers;
};

} // namespace peridothoist
