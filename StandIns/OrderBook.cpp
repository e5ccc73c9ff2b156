/// Applies orders through a table of member functions.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/OrderBook.h>

#include <algorithm>
#include <iterator>

namespace peridothoist::standin {

const OrderBook::Kind OrderBook::kKinds[] = {
  { "load", &OrderBook::Load },          { "unload", &OrderBook::Unload },
  { "adapter", &OrderBook::AddAdapter }, { "version", &OrderBook::SetVersion },
  { "role", &OrderBook::SetRole },
};

OrderResult
OrderBook::Apply(const EngineOrder& aOrder)
{
  if (mChecksFence && aOrder.mFence < mFence) {
    return OrderResult::StaleFence;
  }
  const auto kind =
    std::find_if(std::begin(kKinds), std::end(kKinds), [&](const Kind& aKind) {
      return aOrder.mKind == aKind.mName;
    });
  if (kind == std::end(kKinds)) {
    return OrderResult::UnknownKind;
  }
  mFence = std::max(mFence, aOrder.mFence);
  (this->*kind->mApply)(aOrder.mArgument);
  mState.mLastOrder = aOrder.mOrder;
  return OrderResult::Applied;
}

void
OrderBook::Load(const std::string& aArgument)
{
  mState.mModel = aArgument;
}

void
OrderBook::Unload(const std::string& aArgument)
{
  if (mState.mModel == aArgument) {
    mState.mModel.clear();
  }
}

void
OrderBook::AddAdapter(const std::string& aArgument)
{
  mState.mAdapters.push_back(aArgument);
}

void
OrderBook::SetVersion(const std::string& aArgument)
{
  mState.mVersion = aArgument;
}

void
OrderBook::SetRole(const std::string& aArgument)
{
  mState.mRole = aArgument;
}

} // namespace peridothoist::standin
