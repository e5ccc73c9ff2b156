/// A small valid configuration for tests with at least one item of each kind.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

namespace peridothoist {

inline std::vector<ItemEdit>
ExampleItems()
{
  const std::string digest(64, 'a');
  return {
    { ItemKind::Pool, "pre", R"({"role":"prefill","model":"m"})" },
    { ItemKind::Pool, "dec", R"({"role":"decode","model":"m"})" },
    { ItemKind::Pool, "registry", R"({"role":"plain"})" },
    { ItemKind::Upstream,
      "p1",
      R"({"pool":"pre","address":"127.0.0.1:7001","zone":"uno"})" },
    { ItemKind::Upstream,
      "d1",
      R"({"pool":"dec","address":"127.0.0.1:7002","zone":"dos",
          "memory_pieces":20,"piece_tokens":4096,"checks_fence":true})" },
    { ItemKind::Upstream,
      "r1",
      R"({"pool":"registry","address":"127.0.0.1:7003","zone":"tres",
          "leaving":true})" },
    { ItemKind::Route,
      "chat",
      R"({"path":"/v1/chat/completions","class":"draft","prefill_pool":"pre",
          "decode_pool":"dec","deadline":"10s"})" },
    { ItemKind::Route,
      "certificates",
      R"({"path":"/certificates","class":"non_idempotent","idempotent":false,
          "plain_pool":"registry"})" },
    { ItemKind::Workspace,
      "ensenada",
      R"({"rate_tokens_per_second":500.5,"burst_tokens":2000,
          "pools":["pre","dec","registry"]})" },
    { ItemKind::Key,
      "k1",
      R"({"workspace":"ensenada","salt":"00ff","digest":")" + digest + "\"}" },
    { ItemKind::Default, "hedge_delay", R"({"value":"75ms"})" },
    { ItemKind::Default, "retry_budget", R"({"value":0.2})" },
    { ItemKind::Exception,
      "slow-month-end",
      R"({"workspace":"ensenada","field":"hedge_delay","value":"200ms",
          "reason":"Their link to the coast is slow"})" },
  };
}

} // namespace peridothoist
