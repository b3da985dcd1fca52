// Settings of `gooseberrypath entry`, as the platform gives them to the process.

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
  std::string callerAddress; // "IP:port", as all addresses
  std::string probeAddress;  // for the balancer's questions and the metrics
  std::string peerAddress;   // for datagrams of other daemons
  std::string metricsAddress;
  std::vector<std::string> seeds; // peer addresses of some daemons
  std::string storeAddress;
  std::string cloudAddress; // empty: there are no duties
  bool reportsUsage = false;
  bool ordersBackends = false;
  RetryBudgetOptions retryBudget{};
  QuotaTolerance quotaTolerance{};
  Duration leaseDuration{};
  WallTime usageWindow{};
  Duration stopTimeout{};
  size_t maxDescriptors = 0;

  bool operator==(const EntrySettings&) const = default;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SETTINGS_H_
