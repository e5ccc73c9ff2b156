/// Operators' orders to upstreams.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminOrderPages.h>

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

AdminOrderPages::AdminOrderPages(Reactor& aReactor,
                                 ControlState& aState,
                                 UpstreamKeeper& aUpstreams)
  : mReactor(aReactor)
  , mState(aState)
  , mUpstreams(aUpstreams)
  , mAlive(std::make_shared<bool>(true))
{
}

AdminOrderPages::~AdminOrderPages()
{
  *mAlive = false;
}

void
AdminOrderPages::Register(AdminServer& aServer)
{
  aServer.Add("POST", "/admin/v1/orders", [this](const AdminCall& aCall) {
    ServeOrder(aCall);
  });
}

void
AdminOrderPages::ServeOrder(const AdminCall& aCall)
{
  const auto& upstreams = mState.mView.Config().mUpstreams;
  const auto it = upstreams.find(aCall.Text("upstream"));
  if (it == upstreams.end()) {
    aCall.Refuse({ ReasonCode::NotFound, "upstream: does not exist" });
    return;
  }
  Order order;
  order.mUpstream = it->second;
  order.mKind = aCall.Text("kind");
  order.mArgument = aCall.Text("argument");
  if (std::find(kOrderKinds.begin(), kOrderKinds.end(), order.mKind) ==
      kOrderKinds.end()) {
    aCall.Refuse({ ReasonCode::Invalid,
                   "kind: must be one of load, unload, adapter, version, "
                   "role" });
    return;
  }
  const std::string& group = order.mUpstream.mPool;
  const LeaseRunner* runner = mUpstreams.Find(group);
  if (runner == nullptr || !runner->Machine().IsHeld(mReactor.Now())) {
    aCall.Answer(kHttpMisdirected,
                 { { "error",
                     { { "code", "refused" },
                       { "message",
                         "the lease of group " + group +
                           " isn't held by this process" } } },
                   { "holder_vm", mUpstreams.HolderVm(group) } });
    return;
  }
  order.mId =
    mState.mSettings.mInstance + "-order-" + std::to_string(mNextOrder++);
  order.mFence = runner->Machine().Fence();
  Log::Info("order")
    .Field("operator", aCall.Operator())
    .Field("upstream", order.mUpstream.mName)
    .Field("kind", order.mKind)
    .Field("argument", order.mArgument)
    .Field("fence", order.mFence);
  if (FenceCheckOf(order.mUpstream) == FenceCheck::Checked) {
    Send(aCall, order, false);
    return;
  }
  if (!mUpstreams.CanReadBack(group)) {
    aCall.Refuse({ ReasonCode::Stale,
                   "the lease is new: orders of the last holder may still be "
                   "on their way; try again in a few seconds" });
    return;
  }
  ReadBack(aCall, order);
}

void
AdminOrderPages::ReadBack(const AdminCall& aCall, const Order& aOrder)
{
  mUpstreams.Read(
    aOrder.mUpstream,
    "/v1/state",
    [this, alive = mAlive, aCall, aOrder](const UpstreamCallEnd& aEnd) {
      if (!*alive) {
        return;
      }
      if (!aEnd.Is(kHttpOk)) {
        aCall.Refuse({ ReasonCode::Unreachable,
                       "the upstream's state can't be read back" });
        return;
      }
      Send(aCall, aOrder, true);
    });
}

void
AdminOrderPages::Send(const AdminCall& aCall,
                      const Order& aOrder,
                      bool aReadBack)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "/v1/orders";
  call.mBody = json({ { "order", aOrder.mId },
                      { "kind", aOrder.mKind },
                      { "argument", aOrder.mArgument },
                      { "fence", aOrder.mFence } })
                 .dump();
  mUpstreams.CallUnderLease(aOrder.mUpstream,
                            std::move(call),
                            aReadBack,
                            [aCall, aOrder](const UpstreamCallEnd& aEnd) {
                              Answer(aCall, aOrder, aEnd);
                            });
}

void
AdminOrderPages::Answer(const AdminCall& aCall,
                        const Order& aOrder,
                        const UpstreamCallEnd& aEnd)
{
  const json more = { { "order", aOrder.mId }, { "fence", aOrder.mFence } };
  if (aEnd.Is(kHttpOk)) {
    json body = more;
    body["applied"] = true;
    aCall.Answer(kHttpOk, body);
    return;
  }
  if (aEnd.Is(kHttpConflict)) {
    aCall.Refuse(
      { ReasonCode::Conflict, "the upstream has seen a newer fencing number" },
      more);
    return;
  }
  if (!aEnd.mCall.mMayHaveBeenSent) {
    aCall.Refuse({ ReasonCode::Unreachable,
                   "not sent: the lease ended or there is no connection" },
                 more);
    return;
  }
  const bool answered = aEnd.mCall.mFailure == CallFailure::None;
  if (answered && aEnd.mCall.mStatus >= 400 && aEnd.mCall.mStatus < 500) {
    aCall.Refuse(
      { ReasonCode::Refused,
        "the upstream answered " + std::to_string(aEnd.mCall.mStatus) },
      more);
    return;
  }
  aCall.Refuse({ ReasonCode::InDoubt,
                 "sent, but no clear answer came: read the upstream's state" },
               more);
}

} // namespace peridothoist
