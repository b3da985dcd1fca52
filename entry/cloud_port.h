// Sends usage reports and orders for backends to the platform's cloud API. Only the
// daemon that holds the lease for these duties does so, and each request carries its
// fencing token.
//
//   CloudPort cloud({ .network = network, ..., .address = "10.0.0.9:80", .host = "h1" });
//   cloud.Execute(SendOrder{ .token = 7, .order = ... });   // emits OrderSent

#ifndef ENTRY_CLOUD_PORT_H_
#define ENTRY_CLOUD_PORT_H_

#include <functional>
#include <string>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "entry/messages.h"
#include "gooseberrypath/task_errors.h"
#include "platform/cloud_client.h"

namespace gooseberrypath::entry {

struct CloudPortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::function<void(Event)> sink;
  std::string address; // "IP:port"
  std::string host;    // name of this daemon's host
};

class CloudPort
{
public:
  explicit CloudPort(CloudPortOptions aOptions)
    : sink_(std::move(aOptions.sink))
    , client_({ aOptions.network, aOptions.timer, aOptions.address, aOptions.host })
    , tasks_(errors_)
  {
  }

  /// Sends a usage report and emits UsageSent. Any status but 200 counts as not accepted.
  void Execute(const SendUsage& aAction)
  {
    tasks_.add(client_.ReportUsage(aAction.token, aAction.report)
                 .then([this, window = aAction.report.window](int aStatus) {
                   sink_(UsageSent{ window, aStatus == 200 });
                 }));
  }

  /// Sends an order for backends and emits OrderSent with the status of the response.
  void Execute(const SendOrder& aAction)
  {
    tasks_.add(client_.OrderBackends(aAction.token, aAction.order)
                 .then([this, order = aAction.order](int aStatus) {
                   sink_(OrderSent{ order, aStatus });
                 }));
  }

private:
  std::function<void(Event)> sink_;
  platform::CloudClient client_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CLOUD_PORT_H_
