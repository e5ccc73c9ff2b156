/// Assigns each engine to a home cell of its availability zone. The VMs of a
/// cell prefer the engines at home there and know all the work at them, so VMs
/// of different cells, which see each other's work late, do not choose the same
/// engine at the same time. When the engines at home are busy, a VM uses
/// others.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <set>

namespace peridothoist {

/// Returns the ids of the engines whose home is aCell. The engines of a service
/// and stage are divided over the cells of their zone in proportion to the VMs
/// of each; few engines move when engines or VMs join or leave. Plain upstreams
/// and the engines of a fleet with a single cell have no home.
std::set<std::string>
HomeEngines(const CellLayout& aLayout,
            const CellId& aCell,
            const UpstreamList& aUpstreams);

} // namespace peridothoist
