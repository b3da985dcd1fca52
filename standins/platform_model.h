// The logic of the platform stand-in: a host list that lags, reclaim notices and starts
// of hosts, on a time that its owner passes in.

#ifndef STANDINS_PLATFORM_MODEL_H_
#define STANDINS_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"
#include "standins/lagged_value.h"

namespace gooseberrypath::standins {

struct PlatformOptions
{
  Duration lag{};      // of the host list
  size_t maxHosts = 0; // a start above this is refused; 0: no limit
};

/// The platform's hosts. A host with a notice is leaving and, when the notice's time has
/// passed, gone.
class PlatformModel
{
public:
  explicit PlatformModel(PlatformOptions aOptions)
    : options_(aOptions)
    , hosts_(aOptions.lag, {})
  {
  }

  /// Replaces the list. Each item is a host name (live) or {"host","state",...}. Throws
  /// nlohmann::json::exception if an item has no name.
  void SetHosts(const nlohmann::json& aHosts, TimePoint aNow);

  /// Adds a reclaim notice.
  void AddNotice(const std::string& aHost, int64_t aSecondsLeft, TimePoint aNow);

  /// Starts a host. Returns its item of the list, or nothing if the start is refused.
  std::optional<nlohmann::json> StartHost(const std::string& aZone,
                                          const std::string& aClass,
                                          const std::string& aKind, TimePoint aNow);

  void RefuseStarts(bool aRefuse) { refusesStarts_ = aRefuse; }

  /// Returns the body of GET /hosts.
  nlohmann::json Hosts(TimePoint aNow);

  /// Returns the body of GET /notices.
  nlohmann::json Notices(uint64_t aAfter, TimePoint aNow) const;

  /// Returns the number of the newest notice.
  uint64_t LastNotice() const { return notices_.size(); }

  /// Returns the state without lag, for POST /control.
  nlohmann::json State(TimePoint aNow);

private:
  using HostList = std::map<std::string, nlohmann::json>;

  struct Notice
  {
    std::string host;
    TimePoint end;
    bool ended = false;
  };

  void Advance(TimePoint aNow);
  void SetState(const std::string& aHost, const char* aState, TimePoint aAt);

  PlatformOptions options_;
  LaggedValue<HostList> hosts_;
  std::vector<Notice> notices_; // notice `seq` has the index seq - 1
  bool refusesStarts_ = false;
  uint64_t started_ = 0;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_PLATFORM_MODEL_H_
