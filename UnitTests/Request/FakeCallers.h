/// Fake callers: what each of them asked and saw, and whether that is right.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist::test {

/// Keeps the first thing seen that must not happen.
class Rules
{
public:
  void Require(bool aHolds, const std::string& aWhat, std::uint64_t aId)
  {
    const bool counts = mOnly.empty() || aWhat == mOnly;
    if (!aHolds && counts && mViolation.empty()) {
      mViolation = aWhat + ", request " + std::to_string(aId);
    }
  }

  const std::string& Violation() const { return mViolation; }
  void SetOnly(const std::string& aOnly) { mOnly = aOnly; }

private:
  std::string mOnly; ///< Only this violation counts; empty: all do.
  std::string mViolation;
};

class FakeCallers
{
public:
  /// One request to send.
  struct Ask
  {
    std::string mRoute = "chat";
    std::string mBody = "x";
    std::string mKey; ///< For routes that are not idempotent.
    bool mStreaming = true;
    std::string mWorkspace = "a";
  };

  /// What a caller saw.
  struct Caller
  {
    Ask mAsk;
    bool mGone = false;
    int mFinals = 0;
    int mForgotten = 0;
    std::uint32_t mTokens = 0;
    std::optional<Refusal> mRefusal;
    bool mComplete = false;
    int mExecuted = 0; ///< Times that its content reached an upstream.
    TimePoint mArrivedAt;
  };

  static constexpr std::uint32_t kTokens = 3;

  static std::string TokenText(const std::string& aBody, std::uint32_t aIndex)
  {
    return aBody + "." + std::to_string(aIndex) + ";";
  }

  static std::string WholeText(const std::string& aBody)
  {
    std::string text;
    for (std::uint32_t n = 0; n < kTokens; ++n) {
      text += TokenText(aBody, n);
    }
    return text;
  }

  explicit FakeCallers(Rules& aRules)
    : mRules(aRules)
  {
  }

  /// Takes a command that answers a caller.
  void Perform(const RequestCommand& aCommand)
  {
    Caller& caller = mCallers[aCommand.mId];
    const std::string& body = caller.mAsk.mBody;
    switch (aCommand.mKind) {
      case RequestCommandKind::SendHead:
        mRules.Require(caller.mFinals == 0, "head after the end", aCommand.mId);
        break;
      case RequestCommandKind::SendToken:
        mRules.Require(aCommand.mTokenIndex == caller.mTokens &&
                         aCommand.mText == TokenText(body, caller.mTokens) &&
                         caller.mFinals == 0,
                       "token out of place",
                       aCommand.mId);
        ++caller.mTokens;
        break;
      case RequestCommandKind::EndStream:
        mRules.Require(
          caller.mTokens == kTokens, "stream ends short", aCommand.mId);
        End(caller, aCommand.mId);
        caller.mComplete = true;
        break;
      case RequestCommandKind::SendWhole:
        mRules.Require(aCommand.mCompletion
                         ? aCommand.mText == WholeText(body)
                         : aCommand.mStatus != 200 ||
                             aCommand.mBody == WholeText(body),
                       "another answer",
                       aCommand.mId);
        End(caller, aCommand.mId);
        caller.mComplete = aCommand.mStatus == 200;
        break;
      case RequestCommandKind::SendRefusal:
      case RequestCommandKind::AbortStream:
        caller.mRefusal = aCommand.mRefusal;
        End(caller, aCommand.mId);
        break;
      case RequestCommandKind::Settle:
        break;
      case RequestCommandKind::Forget:
        mRules.Require(
          ++caller.mForgotten == 1, "forgotten twice", aCommand.mId);
        break;
      default:
        break;
    }
  }

  std::map<std::uint64_t, Caller> mCallers;

private:
  void End(Caller& aCaller, std::uint64_t aId)
  {
    mRules.Require(++aCaller.mFinals == 1, "answered twice", aId);
  }

  Rules& mRules;
};

} // namespace peridothoist::test
