#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/KeptConnections.h>

#include <fmt/format.h>
#include <poll.h>

namespace peridothoist::detail {

namespace {

std::string
KeyOf(const ConnectionEnds& aEnds)
{
  return fmt::format("{} {} {} {}",
                     aEnds.mLocalAddress,
                     aEnds.mLocalPort,
                     aEnds.mRemoteAddress,
                     aEnds.mRemotePort);
}

} // namespace

void
KeptConnections::Add(const ConnectionEnds& aEnds, int aSocket)
{
  Remove(aSocket);
  const std::string key = KeyOf(aEnds);
  mSockets[key] = aSocket;
  mEnds[aSocket] = key;
}

void
KeptConnections::Remove(int aSocket)
{
  const auto ends = mEnds.find(aSocket);
  if (ends == mEnds.end()) {
    return;
  }
  const auto it = mSockets.find(ends->second);
  if (it != mSockets.end() && it->second == aSocket) {
    mSockets.erase(it);
  }
  mEnds.erase(ends);
}

bool
KeptConnections::HasInput(const ConnectionEnds& aEnds) const
{
  const auto it = mSockets.find(KeyOf(aEnds));
  if (it == mSockets.end()) {
    return false;
  }
  pollfd state = { it->second, POLLIN, 0 };
  return ::poll(&state, 1, 0) > 0;
}

} // namespace peridothoist::detail
