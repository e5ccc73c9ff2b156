#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ContentKey.h>

#include <Peridothoist/Core/RequestDigest.h>

namespace peridothoist {

namespace {

constexpr char kSeparator = '\n';

/// Length of a digest's prefix in hex: 128 bits, so that two contents of a
/// workspace don't share a key by chance.
constexpr std::size_t kDigestChars = 32;

} // namespace

std::string
MakeContentKey(const StreamContent& aContent)
{
  const std::string tokens =
    (aContent.mPromptTokens ? std::to_string(*aContent.mPromptTokens) : "-") +
    ',' + std::to_string(aContent.mOutputTokens);
  const std::string digest =
    DigestRequest(aContent.mDigest, aContent.mPromptParts, tokens);
  return aContent.mWorkspace + kSeparator + digest.substr(0, kDigestChars);
}

bool
IsContentKey(std::string_view aKey)
{
  return aKey.find(kSeparator) != std::string_view::npos;
}

} // namespace peridothoist
