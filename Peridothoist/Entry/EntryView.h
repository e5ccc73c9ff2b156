/// What an entry knows of the system: configuration, keys, members and share
/// plan, and how fresh that is. Fed by answers of a control process.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceBook.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyRing.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/Request/DispatchGate.h>
#include <Peridothoist/View/FreshView.h>

#include <peer.pb.h>

namespace peridothoist {

/// Told when a new configuration is in force here.
class EntryViewListener
{
public:
  virtual ~EntryViewListener() = default;

  /// The configuration changed.
  virtual void OnConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) = 0;
};

/// Settings of an EntryView.
struct EntryViewSettings
{
  KeyRingSettings mKeys;
  FreshViewSettings mFresh;
  AllowanceBookSettings mAllowance;
};

/// One entry's view.
class EntryView : public DispatchGate
{
public:
  using Settings = EntryViewSettings;

  EntryView(const Settings& aSettings, const std::string& aInstance);

  /// Sets who is told; not owned.
  void SetListener(EntryViewListener* aListener) { mListener = aListener; }

  /// Takes a control process's answer to a question sent at aSent. False with
  /// aReason when it can't be taken; what could be taken then is.
  bool Apply(const peer::ViewUpdate& aUpdate,
             TimePoint aSent,
             TimePoint aNow,
             Reason* aReason);

  /// Who shows the key aText.
  std::optional<KeyIdentity> Authenticate(std::string_view aText,
                                          Reason* aReason) const
  {
    return mKeys.Authenticate(aText, aReason);
  }

  /// An identity as the core carries it in Arrival::mKeyName.
  static std::string ToHandle(const KeyIdentity& aIdentity);

  // See: DispatchGate
  std::optional<RefusalKind> MayDispatch(const std::string& aWorkspace,
                                         const std::string& aKeyName,
                                         TimePoint aNow) override;

  const FreshView& Freshness() const { return mFresh; }
  const Configuration& Config() const { return mStore->Get(); }
  std::shared_ptr<const Configuration> SharedConfig() const;
  const std::vector<Member>& Members() const { return mMembers; }
  AllowanceBook& Book() { return mBook; }

  /// The member whose entry process is this instance; null: not known.
  const Member* FindEntry(const std::string& aInstance) const;

private:
  bool ApplyConfiguration(const peer::ViewUpdate& aUpdate, Reason* aReason);
  bool ApplySnapshot(const peer::Snapshot& aSnapshot, Reason* aReason);
  bool ApplyChange(const peer::Change& aChange, Reason* aReason);
  void ApplySuspensions(const peer::ViewUpdate& aUpdate, TimePoint aNow);
  void ApplyPlan(const peer::ViewUpdate& aUpdate, TimePoint aNow);
  void Confirm(const peer::ViewUpdate& aUpdate, TimePoint aSent);
  void TakeConfiguration(TimePoint aNow);

  EntryViewListener* mListener = nullptr;
  std::shared_ptr<ConfigurationStore> mStore; ///< Never null.
  KeyRing mKeys;
  FreshView mFresh;
  AllowanceBook mBook;
  std::vector<Member> mMembers;
};

} // namespace peridothoist
