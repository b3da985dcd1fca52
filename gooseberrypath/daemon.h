// A daemon: the decision core and the ports around it.
//
//   Daemon daemon(options, Ports{ caller, backend, log, peer, operators, observation,
//   clock }); daemon.Post(event);  // the ports' EventSink calls this

#ifndef GOOSEBERRYPATH_DAEMON_H_
#define GOOSEBERRYPATH_DAEMON_H_

#include <deque>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

#include "gooseberrypath/core.h"
#include "gooseberrypath/ports.h"

namespace gooseberrypath {

/// References to the models of all ports that carry out actions.
template<CallerPort Caller, BackendPort Backend, LogPort Log, PeerPort Peer,
         OperatorPort Operators, ObservationPort Observation, ClockPort Clock>
struct Ports
{
  Caller& caller;
  Backend& backend;
  Log& log;
  Peer& peer;
  Operators& operators;
  Observation& observation;
  Clock& clock;
  std::function<void()> exit;                      // called once for ExitProcess
  std::function<void(std::string_view)> noteError; // an event could not be handled

  /// Calls the function with each port that may carry out actions.
  template<typename F>
  void ForEach(F aFunction)
  {
    aFunction(caller);
    aFunction(backend);
    aFunction(log);
    aFunction(peer);
    aFunction(operators);
    aFunction(observation);
  }
};

/// Feeds events to the core and carries out its actions. Single threaded: Post() must be
/// called on the thread of the event loop.
template<typename PortSet, typename CoreType = Core>
class Daemon
{
public:
  using Event = typename CoreType::Event;
  using Action = typename CoreType::Action;

  Daemon(typename CoreType::Options aOptions, PortSet aPorts)
    : ports_(std::move(aPorts))
    , core_(std::move(aOptions), ports_.clock.Now())
  {
  }

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Handles the event now, or after the event that is being handled.
  void Post(Event aEvent)
  {
    queue_.push_back(std::move(aEvent));
    Pump();
  }

  /// Runs a tick for timers that are due.
  void Wake()
  {
    isTickDue_ = true;
    Pump();
  }

  const auto& GetWorld() const { return core_.GetWorld(); }

private:
  void Pump()
  {
    if (isPumping_) {
      return;
    }
    isPumping_ = true;
    while (isTickDue_ || !queue_.empty()) {
      isTickDue_ = false;
      Guard([this] { HandleNext(); });
      Guard([this] { core_.Tick(ports_.clock.Now()); });
      for (const Action& action : core_.TakeActions()) {
        Guard(
          [&] { std::visit([this](const auto& aOne) { this->Execute(aOne); }, action); });
      }
    }
    isPumping_ = false;
    if (const auto due = core_.NextDue()) {
      ports_.clock.WakeAt(*due, [this] { Wake(); });
    }
  }

  void HandleNext()
  {
    if (queue_.empty()) {
      return;
    }
    const Event event = std::move(queue_.front());
    queue_.pop_front();
    core_.SetTime(ports_.clock.Now());
    core_.Handle(event);
  }

  /// Runs a step and notes an unexpected error in it: one event that cannot be handled
  /// must not end the service of all others.
  template<typename F>
  void Guard(F aStep)
  {
    try {
      aStep();
    } catch (const std::exception& problem) {
      ports_.noteError(problem.what());
    }
  }

  template<typename A>
  void Execute(const A& aAction)
  {
    if constexpr (std::is_same_v<A, ExitProcess>) {
      ports_.exit();
    } else {
      ports_.ForEach([&](auto& aPort) {
        if constexpr (Executes<std::remove_reference_t<decltype(aPort)>, A>) {
          aPort.Execute(aAction);
        }
      });
    }
  }

  PortSet ports_;
  CoreType core_;
  std::deque<Event> queue_;
  bool isPumping_ = false;
  bool isTickDue_ = false;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_DAEMON_H_
