// Settings of the entry daemon, decoded from the platform's settings file.

#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

struct EntrySettings
{
  std::string host; // name of this host
  std::string dataCentre;
  std::vector<std::string> dataCentres;
  // All addresses are "IP:port".
  std::string callerAddress; // where callers connect
  std::string probeAddress;  // for the load balancer's readiness probes and metrics
  std::string peerAddress;   // where gossip datagrams of other daemons arrive
  std::string metricsAddress;
  std::vector<std::string> seeds; // peer addresses of some daemons
  std::string storeAddress;
  std::string cloudAddress;    // empty: there is no cloud API to call
  bool reportsUsage = false;   // the platform asks for usage reports
  bool ordersBackends = false; // the platform allows ordering of backends
  RetryBudgetOptions retryBudget{};
  QuotaTolerance quotaTolerance{};
  Duration leaseDuration{};    // of the duty lease
  WallTime usageWindow{};      // length of the window of one usage report
  Duration stopTimeout{};      // from SIGTERM to the kill
  size_t maxDescriptors = 0;   // file descriptors that the process may open
  size_t maxRequestMemory = 0; // bytes that all callers' requests together may take up

  bool operator==(const EntrySettings&) const = default;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SETTINGS_H_
