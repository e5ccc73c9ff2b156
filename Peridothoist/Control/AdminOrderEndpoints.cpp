/// Admin API endpoint for orders to upstreams.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminOrderEndpoints.h>

#include <Peridothoist/Shell/Log.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> kOrderKinds = { "load",
                                                          "unload",
                                                          "adapter",
                                                          "version",
                                                          "role" };
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kHttpMisdirected = 421;

} // namespace

AdminOrderEndpoints::AdminOrderEndpoints(Reactor& aReactor,
                                         ControlState& aState,
                                         UpstreamLeaseManager& aLeaseManager)
  : mReactor(aReactor)
  , mState(aState)
  , mLeaseManager(aLeaseManager)
  , mAlive(std::make_shared<bool>(true))
{
}

AdminOrderEndpoints::~AdminOrderEndpoints()
{
  *mAlive = false;
}

void
AdminOrderEndpoints::Register(AdminServer& aServer)
{
  aServer.AddEndpoint(
    "POST", "/admin/v1/orders", [this](const AdminRequest& aRequest) {
      ServeOrder(aRequest);
    });
}

void
AdminOrderEndpoints::ServeOrder(const AdminRequest& aRequest)
{
  const auto& upstreams = mState.mView.Config().mUpstreams;
  const auto it = upstreams.find(aRequest.TextField("upstream"));
  if (it == upstreams.end()) {
    aRequest.RespondError({ ReasonCode::NotFound, "upstream: does not exist" });
    return;
  }
  Order order;
  order.mUpstream = it->second;
  order.mKind = aRequest.TextField("kind");
  order.mArgument = aRequest.TextField("argument");
  if (std::find(kOrderKinds.begin(), kOrderKinds.end(), order.mKind) ==
      kOrderKinds.end()) {
    aRequest.RespondError(
      { ReasonCode::Invalid,
        "kind: must be one of load, unload, adapter, version, "
        "role" });
    return;
  }
  const std::string& group = order.mUpstream.mPool;
  const LeaseExecutor* lease = mLeaseManager.FindLease(group);
  if (lease == nullptr || !lease->StateMachine().IsHeld(mReactor.Now())) {
    aRequest.Respond(kHttpMisdirected,
                     { { "error",
                         { { "code", "refused" },
                           { "message",
                             "the lease of group " + group +
                               " is not held by this process" } } },
                       { "holder_vm", mLeaseManager.HolderVm(group) } });
    return;
  }
  order.mId =
    mState.mSettings.mInstance + "-order-" + std::to_string(mNextOrderNumber++);
  order.mFence = lease->StateMachine().Fence();
  Log::Info("order")
    .Field("operator", aRequest.OperatorName())
    .Field("upstream", order.mUpstream.mName)
    .Field("kind", order.mKind)
    .Field("argument", order.mArgument)
    .Field("fence", order.mFence);
  if (FenceCheckOf(order.mUpstream) == FenceCheck::Checked) {
    Send(aRequest, order, false);
    return;
  }
  if (!mLeaseManager.CanReadBack(group)) {
    aRequest.RespondError(
      { ReasonCode::Stale,
        "the lease was acquired recently and orders of the previous "
        "holder may still be in transit; retry in a few seconds" });
    return;
  }
  ReadBack(aRequest, order);
}

void
AdminOrderEndpoints::ReadBack(const AdminRequest& aRequest, const Order& aOrder)
{
  mLeaseManager.Read(aOrder.mUpstream,
                     "/v1/state",
                     [this, alive = mAlive, aRequest, aOrder](
                       const UpstreamCallResult& aResult) {
                       if (!*alive) {
                         return;
                       }
                       if (!aResult.HasStatus(kHttpOk)) {
                         aRequest.RespondError(
                           { ReasonCode::Unreachable,
                             "could not read the state of the upstream" });
                         return;
                       }
                       Send(aRequest, aOrder, true);
                     });
}

void
AdminOrderEndpoints::Send(const AdminRequest& aRequest,
                          const Order& aOrder,
                          bool aHasReadBack)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "/v1/orders";
  call.mBody = json({ { "order", aOrder.mId },
                      { "kind", aOrder.mKind },
                      { "argument", aOrder.mArgument },
                      { "fence", aOrder.mFence } })
                 .dump();
  mLeaseManager.CallUnderLease(
    aOrder.mUpstream,
    std::move(call),
    aHasReadBack,
    [aRequest, aOrder](const UpstreamCallResult& aResult) {
      Respond(aRequest, aOrder, aResult);
    });
}

void
AdminOrderEndpoints::Respond(const AdminRequest& aRequest,
                             const Order& aOrder,
                             const UpstreamCallResult& aResult)
{
  const json extraFields = { { "order", aOrder.mId },
                             { "fence", aOrder.mFence } };
  if (aResult.HasStatus(kHttpOk)) {
    json body = extraFields;
    body["applied"] = true;
    aRequest.Respond(kHttpOk, body);
    return;
  }
  if (aResult.HasStatus(kHttpConflict)) {
    aRequest.RespondError(
      { ReasonCode::Conflict,
        "the upstream has already seen a higher fencing number" },
      extraFields);
    return;
  }
  if (!aResult.mCall.mMayHaveBeenSent) {
    aRequest.RespondError(
      { ReasonCode::Unreachable,
        "order not sent: the lease expired or the connection failed" },
      extraFields);
    return;
  }
  const bool hasResponse = aResult.mCall.mFailure == CallFailure::None;
  if (hasResponse && aResult.mCall.mStatus >= 400 &&
      aResult.mCall.mStatus < 500) {
    aRequest.RespondError(
      { ReasonCode::Refused,
        "the upstream rejected the order with HTTP status " +
          std::to_string(aResult.mCall.mStatus) },
      extraFields);
    return;
  }
  aRequest.RespondError(
    { ReasonCode::InDoubt,
      "the order was sent but its result is unknown; read the state "
      "of the upstream" },
    extraFields);
}

} // namespace peridothoist
