/// Orders that an engine stand-in took: with or without a fencing check.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// One order as received.
struct EngineOrder
{
  std::string mOrder; ///< Its id.
  std::string mKind;  ///< "load", "unload", "adapter", "version" or "role".
  std::string mArgument;
  std::uint64_t mFence = 0;
};

/// What an engine is set to.
struct EngineState
{
  std::string mModel;
  std::vector<std::string> mAdapters;
  std::string mVersion;
  std::string mRole;
  std::string mLastOrder; ///< Id of the order applied last.
};

/// What became of an order.
enum class OrderResult
{
  Applied,
  StaleFence, ///< A higher fencing number was seen before.
  UnknownKind
};

/// Applies orders to the state.
class OrderBook
{
public:
  OrderBook(std::string aRole, bool aChecksFence)
    : mChecksFence(aChecksFence)
  {
    mState.mRole = std::move(aRole);
  }

  OrderResult Apply(const EngineOrder& aOrder);

  const EngineState& State() const { return mState; }

  /// The highest fencing number seen.
  std::uint64_t Fence() const { return mFence; }

private:
  void Load(const std::string& aArgument);
  void Unload(const std::string& aArgument);
  void AddAdapter(const std::string& aArgument);
  void SetVersion(const std::string& aArgument);
  void SetRole(const std::string& aArgument);

  /// How a kind of order changes the state.
  struct Kind
  {
    const char* mName;
    void (OrderBook::*mApply)(const std::string& aArgument);
  };
  static const Kind kKinds[];

  bool mChecksFence;
  std::uint64_t mFence = 0; ///< Never decreases.
  EngineState mState;
};

} // namespace peridothoist::standin
