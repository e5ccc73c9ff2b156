#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CallerDirectory.h>

#include <algorithm>

namespace peridothoist {

std::vector<std::string>
CallerDirectory::Shuffled(std::vector<std::string> aAddresses)
{
  for (std::size_t n = aAddresses.size(); n > 1; --n) {
    std::swap(aAddresses[n - 1], aAddresses[mRandom->UniformBelow(n)]);
  }
  return aAddresses;
}

std::vector<std::string>
CallerDirectory::Select(const std::vector<CallerAddress>& aCallers,
                        const std::string& aZone,
                        std::size_t aVmCount)
{
  const auto serves = [&](ServingState aState) {
    return std::any_of(aCallers.begin(), aCallers.end(), [&](const auto& aIt) {
      return aIt.mServing == aState;
    });
  };
  const ServingState wanted = serves(ServingState::Everything)
                                ? ServingState::Everything
                                : ServingState::OpenRoutes;
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const CallerAddress& it : aCallers) {
    if (it.mServing == wanted) {
      (it.mZone == aZone ? near : far).push_back(it.mAddress);
    }
  }
  std::vector<std::string> addresses = Shuffled(std::move(near));
  if (addresses.size() < mSettings.mMinZoneAddresses) {
    far = Shuffled(std::move(far));
    addresses.insert(addresses.end(), far.begin(), far.end());
  }
  const bool isAlone = addresses.size() == 1 && aVmCount > 1;
  if (isAlone && wanted == ServingState::OpenRoutes) {
    return {};
  }
  addresses.resize(std::min(addresses.size(), mSettings.mMaxAddresses));
  return addresses;
}

} // namespace peridothoist
