/// Orders to an engine stand-in, applied with or without a fencing check.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// An order as received.
struct EngineOrder
{
  std::string mOrder; ///< Order id.
  std::string mKind;  ///< "load", "unload", "adapter", "version" or "role".
  std::string mArgument;
  std::uint64_t mFence = 0;
};

/// State of an engine that orders change.
struct EngineState
{
  std::string mModel;
  std::vector<std::string> mAdapters;
  std::string mVersion;
  std::string mRole;
  std::string mLastOrder; ///< Id of the last applied order.
};

/// Result of an order.
enum class OrderResult
{
  Applied,
  StaleFence, ///< An order with a higher fencing number was applied.
  UnknownKind
};

/// Applies orders to the state of one engine.
class EngineOrderHandler
{
public:
  EngineOrderHandler(std::string aRole, bool aChecksFence)
    : mChecksFence(aChecksFence)
  {
    mState.mRole = std::move(aRole);
  }

  /// Applies an order. With the fencing check enabled, rejects an order whose
  /// fencing number is below the highest one of the applied orders.
  OrderResult Apply(const EngineOrder& aOrder);

  const EngineState& State() const { return mState; }

  /// Returns the highest fencing number of the applied orders.
  std::uint64_t Fence() const { return mFence; }

private:
  void Load(const std::string& aArgument);
  void Unload(const std::string& aArgument);
  void AddAdapter(const std::string& aArgument);
  void SetVersion(const std::string& aArgument);
  void SetRole(const std::string& aArgument);

  /// A kind of order and the function that applies it.
  struct Kind
  {
    const char* mName;
    void (EngineOrderHandler::*mApply)(const std::string& aArgument);
  };
  static const Kind kKinds[];

  bool mChecksFence;
  std::uint64_t mFence = 0; ///< Never decreases.
  EngineState mState;
};

} // namespace peridothoist::standin
