/// Fake callers. They record what they sent and received and check the
/// responses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist::test {

/// Records the first violated invariant.
class InvariantChecker
{
public:
  /// Records a violation of the invariant named aWhat if aHolds is false.
  void Check(bool aHolds, const std::string& aWhat, std::uint64_t aId)
  {
    const bool isChecked = mOnlyInvariant.empty() || aWhat == mOnlyInvariant;
    if (!aHolds && isChecked && mViolation.empty()) {
      mViolation = aWhat + ", request " + std::to_string(aId);
    }
  }

  const std::string& Violation() const { return mViolation; }
  /// Ignores all other invariants.
  void CheckOnly(const std::string& aOnlyInvariant)
  {
    mOnlyInvariant = aOnlyInvariant;
  }

private:
  std::string mOnlyInvariant; ///< The only one checked; empty: all are.
  std::string mViolation;
};

/// The callers, by request id. Every request has its own caller.
class FakeCallers
{
public:
  /// One request to send.
  struct RequestSpec
  {
    std::string mRoute = "chat";
    std::string mBody = "x";
    std::string mKey; ///< Idempotency key; for non-idempotent routes.
    bool mStreaming = true;
    std::string mWorkspace = "a";
  };

  /// A caller and what it received.
  struct Caller
  {
    RequestSpec mSpec;
    bool mIsGone = false;
    int mFinalResponses = 0;
    int mForgetCommands = 0;
    std::uint32_t mTokens = 0;
    std::optional<Refusal> mRefusal;
    bool mIsComplete = false;
    int mExecutions = 0; ///< How often an upstream ran its content.
    TimePoint mArrivedAt;
  };

  static constexpr std::uint32_t kTokens = 3; ///< Tokens of each completion.

  /// Returns the text of one token of the completion for a body.
  static std::string TokenText(const std::string& aBody, std::uint32_t aIndex)
  {
    return aBody + "." + std::to_string(aIndex) + ";";
  }

  /// Returns the text of the whole completion for a body.
  static std::string CompletionText(const std::string& aBody)
  {
    std::string text;
    for (std::uint32_t n = 0; n < kTokens; ++n) {
      text += TokenText(aBody, n);
    }
    return text;
  }

  explicit FakeCallers(InvariantChecker& aInvariants)
    : mInvariants(aInvariants)
  {
  }

  /// Handles a command that sends something to a caller.
  void Perform(const RequestCommand& aCommand)
  {
    Caller& caller = mCallers[aCommand.mId];
    const std::string& body = caller.mSpec.mBody;
    switch (aCommand.mKind) {
      case RequestCommandKind::SendHead:
        mInvariants.Check(caller.mFinalResponses == 0,
                          "head after the final response",
                          aCommand.mId);
        break;
      case RequestCommandKind::SendToken:
        mInvariants.Check(aCommand.mTokenIndex == caller.mTokens &&
                            aCommand.mText == TokenText(body, caller.mTokens) &&
                            caller.mFinalResponses == 0,
                          "token out of order",
                          aCommand.mId);
        ++caller.mTokens;
        break;
      case RequestCommandKind::EndStream:
        mInvariants.Check(
          caller.mTokens == kTokens, "stream ended early", aCommand.mId);
        OnFinalResponse(caller, aCommand.mId);
        caller.mIsComplete = true;
        break;
      case RequestCommandKind::SendWhole:
        mInvariants.Check(aCommand.mIsCompletion
                            ? aCommand.mText == CompletionText(body)
                            : aCommand.mStatus != 200 ||
                                aCommand.mBody == CompletionText(body),
                          "wrong response",
                          aCommand.mId);
        OnFinalResponse(caller, aCommand.mId);
        caller.mIsComplete = aCommand.mStatus == 200;
        break;
      case RequestCommandKind::SendRefusal:
      case RequestCommandKind::AbortStream:
        caller.mRefusal = aCommand.mRefusal;
        OnFinalResponse(caller, aCommand.mId);
        break;
      case RequestCommandKind::Settle:
        break;
      case RequestCommandKind::Forget:
        mInvariants.Check(
          ++caller.mForgetCommands == 1, "second Forget command", aCommand.mId);
        break;
      default:
        break;
    }
  }

  std::map<std::uint64_t, Caller> mCallers;

private:
  void OnFinalResponse(Caller& aCaller, std::uint64_t aId)
  {
    mInvariants.Check(
      ++aCaller.mFinalResponses == 1, "second final response", aId);
  }

  InvariantChecker& mInvariants;
};

} // namespace peridothoist::test
