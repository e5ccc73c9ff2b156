#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CallerRequest.h>

#include <Peridothoist/Entry/ErrorResponse.h>

#include <array>

namespace peridothoist {

CallerRequest::CallerRequest(CallerRequestMetadata aMetadata,
                             CallerRequestContent aContent,
                             std::shared_ptr<HttpExchange> aExchange,
                             std::unique_ptr<CompletionWriter> aWriter,
                             CallerRequestListener* aListener)
  : mMetadata(std::move(aMetadata))
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

CallerRequest::Handler
CallerRequest::FindHandler(RequestCommandKind aKind)
{
  struct Row
  {
    RequestCommandKind mKind;
    Handler mHandler;
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
      return row.mHandler;
    }
  }
  return nullptr;
}

bool
CallerRequest::IsResponseCommand(RequestCommandKind aKind)
{
  return FindHandler(aKind) != nullptr;
}

void
CallerRequest::Perform(const RequestCommand& aCommand)
{
  const Handler handler = FindHandler(aCommand.mKind);
  PH_ASSERT(handler != nullptr);
  (this->*handler)(aCommand);
}

CompletionUsage
CallerRequest::UsageOf(const RequestCommand& aCommand) const
{
  CompletionUsage usage;
  usage.mPromptTokens = aCommand.mPromptTokens != 0 ? aCommand.mPromptTokens
                                                    : mMetadata.mPromptTokens;
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
  if (!mIsBlocked) {
    mIsBlocked = !mExchange->Write(mWriter->TokenEvent(aCommand.mText));
    return;
  }
  mUnsent += aCommand.mText;
  if (mUnsent.size() > kMaxUnsentBytes) {
    mExchange->AbortStream();
    mListener->OnCallerDisconnected(mMetadata.mId);
  }
}

void
CallerRequest::FlushUnsent()
{
  if (mUnsent.empty()) {
    return;
  }
  mIsBlocked = !mExchange->Write(mWriter->TokenEvent(mUnsent));
  mUnsent.clear();
}

void
CallerRequest::OnBufferDrained()
{
  mIsBlocked = false;
  FlushUnsent();
}

void
CallerRequest::SendWhole(const RequestCommand& aCommand)
{
  if (!aCommand.mIsCompletion) {
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
                     CompletionResponseBody(aCommand));
}

std::string
CallerRequest::CompletionResponseBody(const RequestCommand& aCommand) const
{
  PH_ASSERT(mWriter != nullptr);
  return mWriter->CompleteResponse(
    aCommand.mText, aCommand.mFinishReason, UsageOf(aCommand));
}

void
CallerRequest::SendRefusal(const RequestCommand& aCommand)
{
  PH_ASSERT(aCommand.mRefusal.has_value());
  const ErrorResponse response = ErrorResponse::FromRefusal(*aCommand.mRefusal);
  mStatus = response.mStatus;
  response.Send(*mExchange);
}

void
CallerRequest::EndStream(const RequestCommand& aCommand)
{
  PH_ASSERT(mWriter != nullptr);
  FlushUnsent();
  mExchange->Write(
    mWriter->FinalEvents(aCommand.mFinishReason, UsageOf(aCommand)));
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
  const std::string body = ErrorResponse::FromRefusal(refusal).Body();
  mExchange->Write(CompletionWriter::ErrorEvent(body));
  mExchange->AbortStream();
}

void
CallerRequest::OnCallerDisconnected()
{
  mListener->OnCallerDisconnected(mMetadata.mId);
}

} // namespace peridothoist
