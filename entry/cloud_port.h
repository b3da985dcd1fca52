// Carries out the calls of the duties at the platform's cloud API.

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

  void Execute(const SendUsage& aAction)
  {
    tasks_.add(client_.ReportUsage(aAction.token, aAction.report)
                 .then([this, window = aAction.report.window](int aStatus) {
                   sink_(UsageSent{ window, aStatus == 200 });
                 }));
  }

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
