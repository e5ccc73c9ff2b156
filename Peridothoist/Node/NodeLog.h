/// Log lines about changes of what a node knows of workspaces and upstreams.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashEvidence.h>
#include <Peridothoist/Relay/RelayConfiguration.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

namespace peridothoist {

/// Logs the limits of workspaces whose limits changed. aOld: null if there was
/// no configuration before.
void
LogChangedLimits(const RelayConfiguration* aOld,
                 const RelayConfiguration& aNew);

/// Logs which upstreams came, went or changed.
void
LogListChanges(const std::map<std::string, UpstreamList::Entry>& aBefore,
               const std::map<std::string, UpstreamList::Entry>& aAfter);

/// Logs which availability zones are evacuated or no longer are. aBefore: the
/// evacuated zones before. aAge: of the read that showed it.
void
LogEvacuations(const std::set<std::string>& aBefore,
               const UpstreamList& aUpstreams,
               Duration aAge,
               std::size_t aWaiting);

/// Logs that a process of an upstream stated that it leaves. aSource: the kind
/// of call whose response stated it, or the VM that reported it.
void
LogStatedLeaving(const UpstreamProcess& aProcess, std::string_view aSource);

/// Logs which upstreams' speeds were learnt or changed.
void
LogSpeeds(const std::vector<SpeedChange>& aChanges);

/// Logs which contents of requests are quarantined.
class CrashEvidenceLog : public CrashEvidenceListener
{
public:
  // See: CrashEvidenceListener
  void OnContentQuarantined(const std::string& aContent,
                            std::size_t aCrashes,
                            Duration aRemaining) override;
  void OnContentExcused(const std::string& aContent) override;
};

} // namespace peridothoist
