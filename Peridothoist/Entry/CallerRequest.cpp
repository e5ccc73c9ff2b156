#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CallerRequest.h>

#include <Peridothoist/Entry/ErrorAnswer.h>

#include <array>

namespace peridothoist {

CallerRequest::CallerRequest(CallerRequestFacts aFacts,
                             CallerContent aContent,
                             std::shared_ptr<HttpExchange> aExchange,
                             std::unique_ptr<CompletionWriter> aWriter,
                             CallerRequestListener* aListener)
  : mFacts(std::move(aFacts))
  , mContent(std::move(aContent))
  , mExchange(std::move(aExchange))
  , mWriter(std::move(aWriter))
  , mListener(aListener)
{
  mExchange->SetListener(this);
}

CallerRequest::~CallerRequest()
{
  mExchange->SetListener(nullptr);
}

CallerRequest::Performer
CallerRequest::PerformerOf(RequestCommandKind aKind)
{
  struct Row
  {
    RequestCommandKind mKind;
    Performer mPerformer;
  };
  static constexpr std::array<Row, 6> kRows = { {
    { RequestCommandKind::SendHead, &CallerRequest::SendHead },
    { RequestCommandKind::SendToken, &CallerRequest::SendToken },
    { RequestCommandKind::SendWhole, &CallerRequest::SendWhole },
    { RequestCommandKind::SendRefusal, &CallerRequest::SendRefusal },
    { RequestCommandKind::EndStream, &CallerRequest::EndStream },
    { RequestCommandKind::AbortStream, &CallerRequest::AbortStream },
  } };
  for (const Row& row : kRows) {
    if (row.mKind == aKind) {
      return row.mPerformer;
    }
  }
  return nullptr;
}

bool
CallerRequest::IsAnswerCommand(RequestCommandKind aKind)
{
  return PerformerOf(aKind) != nullptr;
}

void
CallerRequest::Perform(const RequestCommand& aCommand)
{
  const Performer performer = PerformerOf(aCommand.mKind);
  PH_ASSERT(performer != nullptr);
  (this->*performer)(aCommand);
}

CompletionUsage
CallerRequest::UsageOf(const RequestCommand& aCommand) const
{
  CompletionUsage usage;
  usage.mPromptTokens =
    aCommand.mPromptTokens != 0 ? aCommand.mPromptTokens : mFacts.mPromptTokens;
  usage.mCompletionTokens = aCommand.mTokens;
  return usage;
}

void
CallerRequest::SendHead(const RequestCommand&)
{
  mStatus = 200;
  mExchange->StartStream(200,
                         { { "content-type", "text/event-stream" },
                           { "cache-control", "no-store" } });
}

void
CallerRequest::SendToken(const RequestCommand& aCommand)
{
  PH_ASSERT(mWriter != nullptr);
  if (!mBlocked) {
    mBlocked = !mExchange->Write(mWriter->Token(aCommand.mText));
    return;
  }
  mUnsent += aCommand.mText;
  if (mUnsent.size() > kMaxUnsentBytes) {
    mExchange->AbortStream();
    mListener->OnCallerGone(mFacts.mId);
  }
}

void
CallerRequest::FlushUnsent()
{
  if (mUnsent.empty()) {
    return;
  }
  mBlocked = !mExchange->Write(mWriter->Token(mUnsent));
  mUnsent.clear();
}

void
CallerRequest::OnDrained()
{
  mBlocked = false;
  FlushUnsent();
}

void
CallerRequest::SendWhole(const RequestCommand& aCommand)
{
  if (!aCommand.mCompletion) {
    mStatus = aCommand.mStatus;
    HttpHeaders headers = aCommand.mHeaders;
    headers["peridothoist-run"] = ToName(RunVerdict::Ran);
    mExchange->Respond(aCommand.mStatus, headers, aCommand.mBody);
    return;
  }
  PH_ASSERT(mWriter != nullptr);
  mStatus = 200;
  mExchange->Respond(200,
                     { { "content-type", "application/json" },
                       { "peridothoist-run", ToName(RunVerdict::Ran) } },
                     CompletionAnswer(aCommand));
}

std::string
CallerRequest::CompletionAnswer(const RequestCommand& aCommand) const
{
  PH_ASSERT(mWriter != nullptr);
  return mWriter->Whole(
    aCommand.mText, aCommand.mFinishReason, UsageOf(aCommand));
}

void
CallerRequest::SendRefusal(const RequestCommand& aCommand)
{
  PH_ASSERT(aCommand.mRefusal.has_value());
  const ErrorAnswer answer = ErrorAnswer::FromRefusal(*aCommand.mRefusal);
  mStatus = answer.mStatus;
  answer.Send(*mExchange);
}

void
CallerRequest::EndStream(const RequestCommand& aCommand)
{
  PH_ASSERT(mWriter != nullptr);
  FlushUnsent();
  mExchange->Write(mWriter->End(aCommand.mFinishReason, UsageOf(aCommand)));
  mExchange->EndStream();
}

void
CallerRequest::AbortStream(const RequestCommand& aCommand)
{
  Refusal refusal;
  if (aCommand.mRefusal) {
    refusal = *aCommand.mRefusal;
  }
  FlushUnsent();
  const std::string body = ErrorAnswer::FromRefusal(refusal).Body();
  mExchange->Write(CompletionWriter::StreamError(body));
  mExchange->AbortStream();
}

void
CallerRequest::OnCallerGone()
{
  mListener->OnCallerGone(mFacts.mId);
}

} // namespace peridothoist
