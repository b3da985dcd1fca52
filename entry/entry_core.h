// The core of the entry daemon: its state and its systems, in the order in which they run
// in a tick.
//
//   EntryCore core(options, now);
//   core.Handle(event);
//   core.Tick(now);
//   for (Action& action : core.TakeActions()) { ... }

#ifndef ENTRY_ENTRY_CORE_H_
#define ENTRY_ENTRY_CORE_H_

#include "entry/configuration_watch.h"
#include "entry/duty_system.h"
#include "entry/fleet_system.h"
#include "entry/fleet_watch.h"
#include "entry/gossip_system.h"
#include "entry/part_system.h"
#include "entry/permit_system.h"
#include "entry/placement_system.h"
#include "entry/request_system.h"
#include "entry/stop_system.h"
#include "entry/team_quota_report.h"
#include "entry/world.h"
#include "gooseberrypath/core.h"

namespace gooseberrypath::entry {

using EntryCore = BasicCore<World, ConfigurationWatch, FleetWatch, FleetSystem,
                            PermitSystem, PartSystem, PlacementSystem, RequestSystem,
                            DutySystem, StopSystem, GossipSystem, TeamQuotaReport>;

} // namespace gooseberrypath::entry

#endif // ENTRY_ENTRY_CORE_H_
