#include "gooseberrypath/backend_system.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "backends";
constexpr int kServiceUnavailable = 503;

bool HasClose(std::string_view aConnection)
{
  while (!aConnection.empty()) {
    const size_t comma = std::min(aConnection.find(','), aConnection.size());
    std::string_view token = aConnection.substr(0, comma);
    while (!token.empty() && token.front() == ' ') {
      token.remove_prefix(1);
    }
    while (!token.empty() && token.back() == ' ') {
      token.remove_suffix(1);
    }
    if (EqualsIgnoreCase(token, "close")) {
      return true;
    }
    aConnection.remove_prefix(std::min(comma + 1, aConnection.size()));
  }
  return false;
}

} // namespace

bool IsUsable(const World& aWorld, const BackendRow& aRow)
{
  return !aRow.leaving && !aRow.gone && aRow.refusedUntil <= aWorld.Now();
}

void BackendSystem::Handle(const AttemptNotSent& aEvent)
{
  // The attempt's row may be erased by another system before Run().
  if (const AttemptRow* attempt = world_.attempts.Find(aEvent.attempt)) {
    inbox_.emplace_back(Refused{ attempt->backend });
  }
}

void BackendSystem::Handle(const AttemptAnswered& aEvent)
{
  if (aEvent.status != kServiceUnavailable ||
      !HasClose(FindHeader(aEvent.headers, "Connection"))) {
    return;
  }
  if (const AttemptRow* attempt = world_.attempts.Find(aEvent.attempt)) {
    if (const BackendRow* backend = world_.backends.Find(attempt->backend)) {
      inbox_.emplace_back(ShuttingDown{ backend->spec.host });
    }
  }
}

void BackendSystem::Run()
{
  SyncServices();
  for (const auto& event : std::exchange(inbox_, {})) {
    std::visit([this](const auto& aOne) { Process(aOne); }, event);
  }
  SyncHosts();
  if (!world_.hostNews.empty()) {
    // The membership system runs before this one, so a tick without delay spreads the
    // news.
    world_.timers.SubscribeAt(world_.Now(), [](TimePoint) {});
  }
}

void BackendSystem::Process(const HostList& aList)
{
  const size_t newsBefore = world_.hostNews.size();
  std::set<std::string_view> kept;
  for (const HostEntry& entry : aList.hosts) {
    ProcessEntry(entry);
    kept.insert(entry.host);
  }
  if (!std::exchange(hasList_, true)) {
    // The first list after a start shows old departures, which the peers know.
    world_.hostNews.resize(newsBefore);
  }
  // Rows of hosts that are of no use any more would otherwise pile up.
  for (const auto& [id, row] : world_.backends) {
    kept.insert(row.spec.host);
  }
  world_.hosts.EraseIf([&](const std::string& aHost, const HostRow& aRow) {
    const bool isOld = world_.Now() - aRow.leavingSince > world_.options.hostReturn;
    if (kept.contains(aHost) || (aRow.leaving && !isOld)) {
      return false;
    }
    departures_.erase(aHost);
    return true;
  });
}

void BackendSystem::ProcessEntry(const HostEntry& aEntry)
{
  HostRow* row = world_.hosts.Find(aEntry.host);
  if (row == nullptr) {
    row = &world_.hosts.Insert(aEntry.host, HostRow{});
    ++world_.hostsRevision;
  }
  if (row->listed != aEntry.state) {
    row->listed = aEntry.state;
    ++world_.hostsRevision;
  }
  if (aEntry.state != HostState::Live) {
    if (!row->leaving) {
      MarkLeaving(aEntry.host, Duration::zero());
    }
    DepartureOf(aEntry.host, *row).wasListed = true;
    return;
  }
  if (!row->leaving) {
    return;
  }
  const Departure& departure = DepartureOf(aEntry.host, *row);
  if (departure.wasListed ||
      world_.Now() >= departure.noticeEnd + world_.options.hostReturn) {
    // The return is not spread: a peer may have a newer notice, and each daemon reads the
    // list itself. The new sequence keeps late news of the old sign from counting.
    row->leaving = false;
    row->sequence = NextSequence(*row);
    ++world_.hostsRevision;
    departures_.erase(aEntry.host);
    world_.Log(LogLevel::Info, kPart, "host " + aEntry.host + " is back");
  }
}

void BackendSystem::Process(const ReclaimNotice& aNotice)
{
  MarkLeaving(aNotice.host, std::max(aNotice.timeLeft, Duration::zero()));
}

void BackendSystem::Process(const ShuttingDown& aEvent)
{
  MarkLeaving(aEvent.host, Duration::zero());
}

void BackendSystem::Process(const Refused& aEvent)
{
  if (BackendRow* backend = world_.backends.Find(aEvent.backend)) {
    backend->refusedUntil = world_.Now() + world_.options.refusedPause;
  }
}

void BackendSystem::Process(const LoadReport& aReport)
{
  const TimePoint taken = world_.Now() - aReport.age;
  const auto [first, last] = byAddress_.equal_range(aReport.address);
  for (auto it = first; it != last; ++it) {
    BackendRow* backend = world_.backends.Find(it->second);
    if (backend != nullptr && (!backend->load || taken >= backend->loadAt)) {
      backend->load = aReport;
      backend->loadAt = taken;
    }
  }
}

uint64_t BackendSystem::NextSequence(const HostRow& aRow) const
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(world_.Now() - started_);
  const uint64_t time =
    world_.options.incarnation + static_cast<uint64_t>(elapsed.count());
  // A sign that came after another one wins, whatever the clocks of their daemons say.
  return std::max(time, aRow.sequence + 1);
}

BackendSystem::Departure& BackendSystem::DepartureOf(const std::string& aHost,
                                                     const HostRow& aRow)
{
  Departure& departure = departures_[aHost];
  if (departure.sequence != aRow.sequence) {
    // A newer sign from a peer. It may be about a reclaim of which this daemon had the
    // notice, so the end of that one is kept. Word of one reclaim arrives with different
    // sequences and late, so what the list showed counts on unless the sign is clearly
    // newer.
    const uint64_t known = departure.sequence;
    const bool isSame = known != 0 && aRow.sequence <= known + kSameSign / 1ms;
    departure = { .sequence = aRow.sequence,
                  .noticeEnd = std::max(departure.noticeEnd, aRow.leavingSince),
                  .wasListed = isSame && departure.wasListed };
  }
  return departure;
}

void BackendSystem::MarkLeaving(const std::string& aHost, Duration aTimeLeft)
{
  HostRow* row = world_.hosts.Find(aHost);
  if (row == nullptr) {
    row = &world_.hosts.Insert(aHost, HostRow{});
  }
  const TimePoint now = world_.Now();
  const TimePoint noticeEnd = now + aTimeLeft;
  if (row->leaving && now - row->leavingSince <= kSameSign) {
    Departure& departure = DepartureOf(aHost, *row);
    departure.noticeEnd = std::max(departure.noticeEnd, noticeEnd);
    return;
  }
  if (!row->leaving) {
    world_.counters.Add(Counter::HostsLeaving);
    world_.Log(LogLevel::Info, kPart, "host " + aHost + " is leaving");
  }
  row->leaving = true;
  row->sequence = NextSequence(*row);
  row->leavingSince = now;
  ++world_.hostsRevision;
  departures_[aHost] = { .sequence = row->sequence, .noticeEnd = noticeEnd };
  world_.hostNews.push_back(
    { .host = aHost, .sequence = row->sequence, .leaving = true });
}

void BackendSystem::SyncServices()
{
  if (syncedConfig_ == world_.appliedConfig) {
    return;
  }
  syncedConfig_ = world_.appliedConfig;
  std::set<std::string> ids;
  std::set<std::string> addresses;
  byAddress_.clear();
  for (const auto& [resource, resourceRow] : world_.resources) {
    const auto* service = std::get_if<ServiceSpec>(&resourceRow.spec);
    if (service == nullptr) {
      continue;
    }
    for (const BackendSpec& spec : service->backends) {
      const std::string id = resource.second + "/" + spec.name;
      ids.insert(id);
      addresses.insert(spec.address);
      byAddress_.emplace(spec.address, id);
      BackendRow* row = world_.backends.Find(id);
      if (row == nullptr) {
        row = &world_.backends.Insert(id, BackendRow{});
        row->service = resource.second;
      } else if (row->spec.address != spec.address) {
        // Another server took the name: what is known of the old one does not apply.
        row->refusedUntil = {};
        row->load.reset();
        row->loadAt = {};
      }
      row->spec = spec;
    }
  }
  world_.backends.EraseIf(
    [&](const std::string& aId, const BackendRow&) { return !ids.contains(aId); });
  ++world_.hostsRevision; // new rows take over the state of their hosts
  std::vector<std::string> watched(addresses.begin(), addresses.end());
  if (watched != watched_) {
    watched_ = watched;
    world_.Emit(WatchLoads{ std::move(watched) });
  }
}

void BackendSystem::SyncHosts()
{
  // Ticks are far more frequent than changes of hosts.
  if (syncedHosts_ == world_.hostsRevision) {
    return;
  }
  syncedHosts_ = world_.hostsRevision;
  for (auto& [id, row] : world_.backends) {
    const HostRow* host = world_.hosts.Find(row.spec.host);
    row.leaving = host != nullptr && host->leaving;
    row.gone = host != nullptr && host->listed == HostState::Gone;
  }
}

} // namespace gooseberrypath
