/// Applies orders through a table of member functions.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineOrderHandler.h>

#include <algorithm>
#include <iterator>

namespace peridothoist::standin {

const EngineOrderHandler::Kind EngineOrderHandler::kKinds[] = {
  { "load", &EngineOrderHandler::Load },
  { "unload", &EngineOrderHandler::Unload },
  { "adapter", &EngineOrderHandler::AddAdapter },
  { "version", &EngineOrderHandler::SetVersion },
  { "role", &EngineOrderHandler::SetRole },
};

OrderResult
EngineOrderHandler::Apply(const EngineOrder& aOrder)
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
EngineOrderHandler::Load(const std::string& aArgument)
{
  mState.mModel = aArgument;
}

void
EngineOrderHandler::Unload(const std::string& aArgument)
{
  if (mState.mModel == aArgument) {
    mState.mModel.clear();
  }
}

void
EngineOrderHandler::AddAdapter(const std::string& aArgument)
{
  mState.mAdapters.push_back(aArgument);
}

void
EngineOrderHandler::SetVersion(const std::string& aArgument)
{
  mState.mVersion = aArgument;
}

void
EngineOrderHandler::SetRole(const std::string& aArgument)
{
  mState.mRole = aArgument;
}

} // namespace peridothoist::standin
