// An entry core between the real ports for callers and backends, on loopback. The store's
// part is played by the test.
//
//   EntryLoop loop;
//   PortDaemon daemon(loop);
//   daemon.AddBackends("assistant", addresses);
//   RawPeer caller = loop.ConnectTo(daemon.CallerPortNumber());

#ifndef ENTRY_TESTING_PORT_DAEMON_H_
#define ENTRY_TESTING_PORT_DAEMON_H_

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "entry/backend_port.h"
#include "entry/boot_clock.h"
#include "entry/caller_port.h"
#include "entry/entry_core.h"
#include "entry/testing/entry_fixture.h"
#include "gooseberrypath/daemon.h"
#include "gooseberrypath/testing/loop_fixture.h"

namespace gooseberrypath::entry {

using EntryLoop = BasicLoopFixture<Event>;

class PortDaemon
{
public:
  explicit PortDaemon(EntryLoop& aLoop,
                      Configuration aConfiguration = TestConfiguration())
    : clock_({ .timer = aLoop.Timer() })
    , callerPort_(static_cast<uint16_t>(aLoop.Listen()->getPort()))
    , callers_({ .network = aLoop.Network(),
                 .timer = aLoop.Timer(),
                 .sink = Sink(),
                 .now = [this] { return clock_.Now(); },
                 .address = "127.0.0.1:" + std::to_string(callerPort_) })
    , backends_({ .network = aLoop.Network(),
                  .timer = aLoop.Timer(),
                  .sink = Sink(),
                  .now = [this] { return clock_.Now(); } })
  {
    daemon_.emplace(EntryOptions{ .host = "d1",
                                  .dataCentre = "c1",
                                  .dataCentres = { "c1" },
                                  .retryBudget = { .extra = 10 } },
                    PortSet{ .caller = callers_,
                             .backend = backends_,
                             .clock = clock_,
                             .exit = [] {},
                             .noteError =
                               [](std::string_view aReason) {
                                 KJ_FAIL_REQUIRE("an event failed",
                                                 std::string(aReason).c_str());
                               } });
    daemon_->Post(ConfigurationRead{
      std::make_shared<const Configuration>(std::move(aConfiguration)) });
  }

  PortDaemon(const PortDaemon&) = delete;
  PortDaemon& operator=(const PortDaemon&) = delete;

  /// Adds a backend of a service at each address.
  void AddBackends(const std::string& aService, std::span<const std::string> aAddresses)
  {
    for (const std::string& address : aAddresses) {
      BackendEntry entry =
        EntryFixture::MakeBackendEntry(aService + "@" + address, aService);
      entry.address = address;
      daemon_->Post(FleetRead{ .changes = { entry } });
    }
  }

  uint16_t CallerPortNumber() const { return callerPort_; }
  const World& GetWorld() const { return daemon_->GetWorld(); }

private:
  /// The ports that execute the core's actions; the others are left out.
  struct PortSet
  {
    CallerPort& caller;
    BackendPort& backend;
    BootClock& clock;
    std::function<void()> exit;
    std::function<void(std::string_view)> noteError;

    template<typename F>
    void ForEach(F aFunction)
    {
      aFunction(caller);
      aFunction(backend);
    }
  };

  std::function<void(Event)> Sink()
  {
    return [this](Event aEvent) { daemon_->Post(std::move(aEvent)); };
  }

  std::optional<Daemon<PortSet, EntryCore>> daemon_;
  BootClock clock_;
  uint16_t callerPort_;
  CallerPort callers_;
  BackendPort backends_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_PORT_DAEMON_H_
