#include "entry/placement_system.h"

#include <algorithm>
#include <utility>

#include "entry/backend_choice.h"
#include "entry/duration_text.h"
#include "entry/fleet_system.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(200);

// A process whose checks are this late was suspended, or had so little processor time
// that another daemon may have become the placer.
constexpr Duration kSuspensionTime = milliseconds(1000);

// A request without a reply is given up after this time. Within a region the reply takes
// a few milliseconds.
constexpr Duration kReplyTimeout = milliseconds(10);

// A placer is not asked in this time after a request without a reply, or after its reply
// that it does not place.
constexpr Duration kNoPlacerPause = milliseconds(200);

// A held request is sent again after this time. If the placer was replaced or its reply
// was lost, the call waits for no longer than this and the reply timeout.
constexpr Duration kHeldRepeatTime = milliseconds(25);

// Time in which the reply to a held request may be late.
constexpr Duration kHeldReplyMargin = milliseconds(20);

// The calls of a service are placed while a load report of its backends came within this
// time. Without reports, lost releases would block slots for long.
constexpr Duration kMaxReportPause = std::chrono::seconds(5);

// The newest report of a backend is passed on up to this age.
constexpr Duration kMaxPassedAge = milliseconds(300);

// Older reports in digests are passed over.
constexpr Duration kMaxGossipedAge = std::chrono::seconds(1);

// How often the placer looks for free slots while requests are held. Releases free slots
// at once; this covers what expires.
constexpr Duration kHeldCheckInterval = milliseconds(10);

// The placer's view of which backends are usable may be this old, so that it is not
// computed for each of several requests in a row.
constexpr Duration kMaxViewAge = milliseconds(2);

bool HasEngines(const World& aWorld, const std::string& aService)
{
  if (!aWorld.configuration) {
    return false;
  }
  const auto found = aWorld.configuration->services.find(aService);
  return found != aWorld.configuration->services.end() && found->second.engine;
}

bool IsPlacedService(const World& aWorld, const std::string& aService)
{
  const auto reported = aWorld.loadReportedAt.find(aService);
  return reported != aWorld.loadReportedAt.end() &&
         aWorld.Now() - reported->second <= kMaxReportPause &&
         !HasEngines(aWorld, aService) && aWorld.DaemonCount() > kMaxDaemonsForFullScan;
}

} // namespace

bool MayBePlaced(const World& aWorld, const RequestRow& aRow)
{
  return aRow.placement.state == PlacementState::None && !aRow.call.model &&
         IsPlacedService(aWorld, aRow.service);
}

void PlacementSystem::Start()
{
  checkedAt_ = world_.Now();
  world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { OnCheck(); });
}

void PlacementSystem::Run()
{
  for (const EndedPlacement& ended : std::exchange(world_.endedPlacements, {})) {
    Release(ended);
  }
  for (const ExchangeId id : std::exchange(world_.placementsWanted, {})) {
    RequestRow* row = world_.requests.Find(id);
    if (row != nullptr && row->stage == RequestStage::AwaitingPlacement) {
      AskFor(id, *row);
    }
  }
}

// The daemon that asks.

void PlacementSystem::AskFor(ExchangeId aExchange, RequestRow& aRow)
{
  const TimePoint now = world_.Now();
  const uint32_t service = DigestKey(aRow.service);
  const std::string host = placers_.GranterOf(service).host;
  const bool isOwn = host == world_.options.host;
  const PeerRow* peer = world_.peers.Find(host);
  const auto paused = pausedUntil_.find(host);
  const bool isPaused = paused != pausedUntil_.end() && now < paused->second;
  Ask ask{ .exchange = aExchange,
           .service = service,
           .placer = host,
           .address = isOwn || peer == nullptr ? std::string() : peer->address,
           .askedAt = now,
           .replyBy = now + kReplyTimeout };
  if (isPaused || (!isOwn && (peer == nullptr || !peer->isAlive))) {
    Decide(ask, { .state = PlacementState::Alone });
    return;
  }
  const uint64_t id = ++lastAsk_;
  aRow.placement.id = id;
  aRow.placement.placer = host;
  aRow.placement.askedAt = now;
  PlaceRequest request{ .process = world_.ProcessName(),
                        .id = id,
                        .service = service,
                        .priority = aRow.route->priority,
                        .team = aRow.team == nullptr ? 0 : DigestKey(aRow.team->name),
                        .dataCentre = DigestKey(world_.options.dataCentre),
                        .timeLeft = aRow.deadline - now,
                        .latencyObjective = aRow.placement.longestTime };
  if (aRow.team != nullptr && aRow.team->priority) {
    request.priority = *aRow.team->priority;
  }
  for (const std::string& backend : aRow.failedBackends) {
    request.excluded.push_back(DigestKey(backend));
  }
  world_.counters.Add(EntryCounter::PlacementsAsked);
  if (!isOwn) {
    ask.timer =
      world_.timers.SubscribeAt(ask.replyBy, [this, id](TimePoint) { OnTimeout(id); });
    world_.Emit(SendPlacementMessage{ .to = ask.address, .message = request });
  }
  ask.request = request;
  asks_.emplace(id, std::move(ask));
  if (isOwn) {
    ApplyReply(Answer({}, request), {});
  }
}

void PlacementSystem::Decide(const Ask& aAsk, const CallPlacement& aPlacement)
{
  RequestRow* row = world_.requests.Find(aAsk.exchange);
  if (row != nullptr && row->stage == RequestStage::AwaitingPlacement) {
    row->placement = aPlacement;
    world_.placementsDecided.push_back(aAsk.exchange);
  }
}

void PlacementSystem::ApplyReply(const PlaceReply& aReply, const std::string& aFrom)
{
  const TimePoint now = world_.Now();
  const auto found = asks_.find(aReply.id);
  const bool isCounted =
    aReply.outcome == PlaceOutcome::Placed || aReply.outcome == PlaceOutcome::Held;
  if (found == asks_.end()) {
    if (isCounted) {
      SendRelease(aFrom, { .process = world_.ProcessName(),
                           .id = aReply.id,
                           .service = aReply.service,
                           .backend = aReply.backend });
    }
    return;
  }
  Ask& ask = found->second;
  const bool isHeldAgain = ask.isHeld && aReply.outcome == PlaceOutcome::Held;
  if (ask.backend != 0 || (isHeldAgain && !ask.isRepeated)) {
    return; // a repeated reply
  }
  if (now > (ask.isHeld ? ask.heldUntil : ask.replyBy)) {
    OnTimeout(aReply.id); // this process was suspended
    return;
  }
  world_.timers.Cancel(ask.timer);
  if (!ask.isHeld) {
    world_.counters.Observe(EntryHistogram::PlacementReply, ToMs(now - ask.askedAt));
  }
  switch (aReply.outcome) {
    case PlaceOutcome::Placed: {
      const BackendRow* backend = FindBackend(aReply.backend);
      if (backend == nullptr) {
        GiveUp(aReply.id);
        return;
      }
      world_.counters.Add(EntryCounter::PlacementsPlaced);
      ask.backend = aReply.backend;
      Decide(ask, { .state = PlacementState::Placed,
                    .id = aReply.id,
                    .backend = backend->entry.id,
                    .placer = ask.placer,
                    .askedAt = ask.askedAt });
      return;
    }
    case PlaceOutcome::Held:
      Hold(ask, aReply);
      return;
    case PlaceOutcome::Refused:
      world_.counters.Add(EntryCounter::PlacementsRefused);
      End(aReply.id, PlacementState::Refused, aReply.wait);
      return;
    case PlaceOutcome::NotPlacer:
      if (!ask.address.empty()) {
        pausedUntil_[ask.placer] = now + kNoPlacerPause;
      }
      End(aReply.id, PlacementState::Alone, {});
      return;
  }
}

void PlacementSystem::End(uint64_t aId, PlacementState aState, Duration aRetryAfter)
{
  const auto ask = asks_.extract(aId);
  Decide(ask.mapped(), { .state = aState, .retryAfter = aRetryAfter });
}

void PlacementSystem::Hold(Ask& aAsk, const PlaceReply& aReply)
{
  const TimePoint now = world_.Now();
  if (!std::exchange(aAsk.isHeld, true)) {
    world_.counters.Add(EntryCounter::PlacementsHeld);
    aAsk.heldUntil = now + aReply.wait + kHeldReplyMargin;
  }
  aAsk.isRepeated = false;
  aAsk.replyBy = aAsk.address.empty() ? aAsk.heldUntil
                                      : std::min(now + kHeldRepeatTime, aAsk.heldUntil);
  aAsk.timer = world_.timers.SubscribeAt(
    aAsk.replyBy, [this, id = aReply.id](TimePoint) { OnTimeout(id); });
}

void PlacementSystem::Repeat(uint64_t aId, Ask& aAsk)
{
  const TimePoint now = world_.Now();
  aAsk.isRepeated = true;
  aAsk.replyBy = now + kReplyTimeout;
  aAsk.timer =
    world_.timers.SubscribeAt(aAsk.replyBy, [this, aId](TimePoint) { OnTimeout(aId); });
  PlaceRequest request = aAsk.request;
  request.timeLeft -= now - aAsk.askedAt;
  world_.Emit(SendPlacementMessage{ .to = aAsk.address, .message = std::move(request) });
}

void PlacementSystem::OnTimeout(uint64_t aId)
{
  const auto found = asks_.find(aId);
  if (found == asks_.end() || found->second.backend != 0) {
    return;
  }
  Ask& ask = found->second;
  if (ask.isHeld && !ask.isRepeated && world_.Now() < ask.heldUntil) {
    Repeat(aId, ask);
    return;
  }
  world_.counters.Add(EntryCounter::PlacementsUnanswered);
  pausedUntil_[ask.placer] = world_.Now() + kNoPlacerPause;
  GiveUp(aId);
}

void PlacementSystem::GiveUp(uint64_t aId)
{
  const Ask ask = asks_.at(aId);
  Release({ .id = aId });
  Decide(ask, { .state = PlacementState::Alone });
}

void PlacementSystem::Release(const EndedPlacement& aEnded)
{
  const auto found = asks_.find(aEnded.id);
  if (found == asks_.end()) {
    return;
  }
  const Ask ask = std::move(found->second);
  world_.timers.Cancel(ask.timer);
  asks_.erase(found);
  PlaceRelease release{ .process = world_.ProcessName(),
                        .id = aEnded.id,
                        .service = ask.service,
                        .backend = ask.backend,
                        .wasUsed = aEnded.wasUsed,
                        .timeAtBackend = aEnded.timeAtBackend };
  if (const BackendRow* backend = FindBackend(ask.backend)) {
    const auto load = loads_.find(backend->entry.id);
    if (load != loads_.end() && world_.Now() - load->second.receivedAt <= kMaxPassedAge) {
      release.report = AgedLoadReport{ .report = load->second.report,
                                       .age = world_.Now() - load->second.receivedAt };
    }
  }
  world_.counters.Add(aEnded.wasUsed ? EntryCounter::PlacementsReleased
                                     : EntryCounter::PlacementsGivenUp);
  SendRelease(ask.address, release);
}

void PlacementSystem::SendRelease(const std::string& aTo, const PlaceRelease& aRelease)
{
  if (aTo.empty()) {
    Handle(PlaceReleaseReceived{ aRelease });
  } else {
    world_.Emit(SendPlacementMessage{ .to = aTo, .message = aRelease });
  }
}

void PlacementSystem::NoteLoad(AttemptId aAttempt, const ResponseHead& aHead)
{
  const AttemptRow* attempt = world_.attempts.Find(aAttempt);
  if (attempt == nullptr || !aHead.load.report || aHead.isMisdirected) {
    return;
  }
  const BackendRow* backend = world_.backends.Find(attempt->backend);
  if (backend == nullptr) {
    return;
  }
  NoteLoad(*backend, { .report = *aHead.load.report, .receivedAt = world_.Now() });
}

void PlacementSystem::NoteLoad(const BackendRow& aBackend, const NotedLoad& aLoad)
{
  if (!IsValid(aLoad.report) || aLoad.receivedAt < aBackend.reportedLoad.RestartedAt()) {
    return;
  }
  TimePoint& reportedAt = world_.loadReportedAt[aBackend.entry.service];
  reportedAt = std::max(reportedAt, aLoad.receivedAt);
  NotedLoad& noted = loads_[aBackend.entry.id];
  if (aLoad.receivedAt >= noted.receivedAt) {
    noted = aLoad;
  }
  const auto placed = placed_.find(DigestKey(aBackend.entry.service));
  if (placed != placed_.end()) {
    placed->second.placer.ApplyReport(world_.Now(), aBackend.key, aLoad.report,
                                      aLoad.receivedAt);
  }
}

BackendRow* PlacementSystem::FindBackend(uint32_t aKey)
{
  const auto found = backendOfKey_.find(aKey);
  return found == backendOfKey_.end() ? nullptr : world_.backends.Find(found->second);
}

void PlacementSystem::Handle(const PlaceReplyReceived& aEvent)
{
  ApplyReply(aEvent.reply, aEvent.from);
}

// The placer.

void PlacementSystem::Handle(const PlaceRequestReceived& aEvent)
{
  const PlaceReply reply = Answer(aEvent.from, aEvent.request);
  world_.Emit(SendPlacementMessage{ .to = aEvent.from, .message = reply });
}

void PlacementSystem::Handle(const PlaceReleaseReceived& aEvent)
{
  DetectSuspension();
  const auto placed = placed_.find(aEvent.release.service);
  if (placed == placed_.end()) {
    return;
  }
  placed->second.placer.Release(world_.Now(), aEvent.release);
  ServeHeld(aEvent.release.service);
}

PlacementSystem::PlacedService* PlacementSystem::FindPlaced(uint32_t aService)
{
  DetectSuspension();
  const Granter& placer = placers_.GranterOf(aService);
  const auto name = serviceOfKey_.find(aService);
  if (placer.host != world_.options.host || world_.stoppingSince ||
      world_.Now() < placers_.GrantsFrom(placer) || name == serviceOfKey_.end()) {
    return nullptr;
  }
  auto found = placed_.find(aService);
  if (found == placed_.end()) {
    const auto stats = world_.serviceStats.find(name->second);
    const double workMs =
      stats == world_.serviceStats.end() ? ServiceStats{}.baseMs : stats->second.baseMs;
    uint32_t slots = 0;
    for (const std::string& id : backendsOf_[name->second]) {
      const BackendRow* row = world_.backends.Find(id);
      slots += row == nullptr ? 0 : row->entry.slots;
    }
    found =
      placed_
        .emplace(aService,
                 PlacedService{
                   .placer = ServicePlacer(
                     { .workMs = workMs, .slots = slots, .seed = world_.random() }) })
        .first;
    UpdateBackends(aService, found->second);
    ApplyKnownLoads(name->second, found->second);
  }
  if (world_.Now() - found->second.updatedAt > kMaxViewAge) {
    UpdateBackends(aService, found->second);
  }
  return &found->second;
}

void PlacementSystem::ApplyKnownLoads(const std::string& aService, PlacedService& aPlaced)
{
  for (const std::string& id : backendsOf_[aService]) {
    const auto load = loads_.find(id);
    if (load != loads_.end()) {
      aPlaced.placer.ApplyReport(world_.Now(), DigestKey(id), load->second.report,
                                 load->second.receivedAt);
    }
  }
}

PlaceReply PlacementSystem::Answer(const std::string& aFrom, const PlaceRequest& aRequest)
{
  PlacedService* placed = FindPlaced(aRequest.service);
  if (placed == nullptr) {
    return { .id = aRequest.id, .service = aRequest.service };
  }
  ServeHeld(aRequest.service);
  const PlaceReply reply = placed->placer.Answer(world_.Now(), aFrom, aRequest);
  ServeHeld(aRequest.service);
  return reply;
}

void PlacementSystem::UpdateBackends(uint32_t aService, PlacedService& aPlaced)
{
  const TimePoint now = world_.Now();
  aPlaced.updatedAt = now;
  std::map<uint32_t, PlaceableBackend> backends;
  for (const std::string& id : backendsOf_[serviceOfKey_[aService]]) {
    const BackendRow* row = world_.backends.Find(id);
    if (row != nullptr) {
      backends[row->key] = { .slots = std::max(row->entry.slots, 1U),
                             .startedMs = row->entry.startedMs,
                             .dataCentre = DigestKey(row->entry.dataCentre),
                             .isUsable = IsUsable(*row, now),
                             .failureRate = row->health.FailureRate(now),
                             .slowness = row->health.Slowness(now),
                             .digestedCalls = world_.TotalUseOf(*row).inFlight };
    }
  }
  aPlaced.placer.SetBackends(now, backends, placers_.Share());
}

void PlacementSystem::ServeHeld(uint32_t aService)
{
  const auto found = placed_.find(aService);
  if (found == placed_.end() || !found->second.placer.HoldsRequests()) {
    return;
  }
  PlacedService& placed = found->second;
  if (world_.Now() - placed.updatedAt > kMaxViewAge) {
    UpdateBackends(aService, placed);
  }
  Send(placed.placer.TakeReplies(world_.Now()));
  if (!placed.placer.HoldsRequests() || placed.hasTimer) {
    return;
  }
  placed.hasTimer = true;
  world_.timers.SubscribeAt(world_.Now() + kHeldCheckInterval,
                            [this, aService](TimePoint) {
                              const auto waiting = placed_.find(aService);
                              if (waiting != placed_.end()) {
                                waiting->second.hasTimer = false;
                                ServeHeld(aService);
                              }
                            });
}

void PlacementSystem::Send(const std::vector<AddressedReply>& aReplies)
{
  for (const AddressedReply& reply : aReplies) {
    if (reply.to.empty()) {
      ApplyReply(reply.reply, {});
    } else {
      world_.Emit(SendPlacementMessage{ .to = reply.to, .message = reply.reply });
    }
  }
}

void PlacementSystem::StopPlacing(PlacedService& aPlaced)
{
  Send(aPlaced.placer.Dismiss());
}

// Both.

void PlacementSystem::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  if (digest.daemon == world_.options.host) {
    return;
  }
  placers_.SetEligible(world_.Now(), digest.daemon,
                       digest.grantsPermits && !digest.isStopping);
  for (const GossipedLoad& load : digest.loads) {
    const BackendRow* backend = FindBackend(load.backend);
    if (backend != nullptr && load.age >= Duration::zero() &&
        load.age <= kMaxGossipedAge) {
      NoteLoad(*backend,
               { .report = load.report, .receivedAt = world_.Now() - load.age });
    }
  }
}

void PlacementSystem::DetectSuspension()
{
  if (world_.Now() - checkedAt_ <= kSuspensionTime) {
    return;
  }
  checkedAt_ = world_.Now();
  placers_.Restart(world_.Now());
  for (auto& [service, placed] : std::exchange(placed_, {})) {
    StopPlacing(placed);
  }
}

void PlacementSystem::OnCheck()
{
  DetectSuspension();
  checkedAt_ = world_.Now();
  UpdatePlacers();
  IndexServices();
  RemoveEndedProcesses();
  std::map<uint32_t, PlacedService> ended;
  for (auto item = placed_.begin(); item != placed_.end();) {
    const auto next = std::next(item);
    const bool isPlacer = serviceOfKey_.contains(item->first) &&
                          placers_.GranterOf(item->first).host == world_.options.host &&
                          !world_.stoppingSince;
    if (!isPlacer) {
      ended.insert(placed_.extract(item));
    }
    item = next;
  }
  for (auto& [service, placed] : ended) {
    StopPlacing(placed);
  }
  world_.placementsInUse = 0;
  for (auto& [service, placed] : placed_) {
    UpdateBackends(service, placed);
    world_.placementsInUse += placed.placer.Ledger().Size();
  }
  std::erase_if(pausedUntil_,
                [&](const auto& aItem) { return aItem.second <= world_.Now(); });
}

void PlacementSystem::UpdatePlacers()
{
  const TimePoint now = world_.Now();
  placers_.SetEligible(now, world_.options.host, world_.grantsPermits);
  for (const auto& [host, peer] : world_.peers) {
    placers_.SetEligible(
      now, host, peer.isAlive && !peer.digest.isStopping && peer.digest.grantsPermits);
  }
  placers_.SetAliveShare(now, world_.aliveShare, PeerTimeout(world_.heartbeatInterval));
}

void PlacementSystem::IndexServices()
{
  backendOfKey_.clear();
  serviceOfKey_.clear();
  backendsOf_.clear();
  for (const auto& [id, row] : world_.backends) {
    const std::string& service = row.entry.service;
    if (HasEngines(world_, service)) {
      continue;
    }
    backendOfKey_.emplace(row.key, id);
    serviceOfKey_.emplace(DigestKey(service), service);
    backendsOf_[service].push_back(id);
  }
  for (const auto& [service, ids] : backendsOf_) {
    if (IsPlacedService(world_, service)) {
      LogPlacer(service);
    } else {
      loggedPlacers_.erase(service);
    }
  }
  std::erase_if(loads_, [&](const auto& aItem) {
    return world_.backends.Find(aItem.first) == nullptr;
  });
}

void PlacementSystem::RemoveEndedProcesses()
{
  std::erase_if(processes_, [&](const auto& aItem) {
    const PeerRow* peer = world_.peers.Find(aItem.first);
    const bool isSame =
      peer != nullptr && peer->isAlive &&
      aItem.second == aItem.first + "/" + std::to_string(peer->digest.incarnation);
    if (!isSame) {
      for (auto& [service, placed] : placed_) {
        placed.placer.RemoveProcess(aItem.second);
      }
    }
    return !isSame;
  });
  for (const auto& [host, peer] : world_.peers) {
    if (peer.isAlive) {
      processes_.try_emplace(host, host + "/" + std::to_string(peer.digest.incarnation));
    }
  }
}

void PlacementSystem::LogPlacer(const std::string& aService)
{
  const std::string& host = placers_.GranterOf(DigestKey(aService)).host;
  std::string& logged = loggedPlacers_[aService];
  if (host == logged) {
    return;
  }
  logged = host;
  world_.Log(LogLevel::Info, "placer", {},
             { { "service", aService },
               { "placer", host.empty() ? "none" : host },
               { "share", std::to_string(placers_.Share()) } });
}

} // namespace gooseberrypath::entry
