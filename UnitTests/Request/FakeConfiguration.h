/// The configuration of the fake cluster.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

namespace peridothoist::test {

/// Returns a configuration with aUpstreamsPerPool upstreams in each pool.
inline std::shared_ptr<Configuration>
MakeConfiguration(std::uint32_t aUpstreamsPerPool = 3)
{
  auto config = std::make_shared<Configuration>();
  config->mVersion = 1;
  for (const char* name : { "a", "b" }) {
    config->mWorkspaces[name] = { name, 1e9, 1e9, { "pre", "dec", "svc" } };
  }
  config->mPools["pre"] = { "pre", UpstreamRole::Prefill, "m" };
  config->mPools["dec"] = { "dec", UpstreamRole::Decode, "m" };
  config->mPools["svc"] = { "svc", UpstreamRole::Plain, "" };
  const auto add = [&](const std::string& aPool, std::uint32_t aNumber) {
    Upstream upstream;
    upstream.mName = aPool + std::to_string(aNumber);
    upstream.mPool = aPool;
    upstream.mAddress = "10.0.0.1:" + std::to_string(aNumber);
    upstream.mMemoryPieces = 4;
    config->mUpstreams[upstream.mName] = upstream;
  };
  for (std::uint32_t n = 0; n < aUpstreamsPerPool; ++n) {
    add("pre", n);
    add("dec", n);
    add("svc", n);
  }
  const auto route = [&](const char* aName, bool aPlain, bool aIdempotent) {
    Route it;
    it.mName = aName;
    it.mPath = std::string("/") + aName;
    it.mIsIdempotent = aIdempotent;
    it.mClass = !aIdempotent ? RequestClass::NonIdempotent
                : aPlain     ? RequestClass::Lookup
                             : RequestClass::Draft;
    it.mPlainPool = aPlain ? "svc" : "";
    it.mPrefillPool = aPlain ? "" : "pre";
    it.mDecodePool = aPlain ? "" : "dec";
    config->mRoutes[aName] = it;
  };
  route("chat", false, true);
  route("lookup", true, true);
  route("post", true, false);
  route("cert", false, false);
  return config;
}

} // namespace peridothoist::test
