#include "entry/permit_system.h"

#include <algorithm>
#include <utility>

#include "entry/backend_notice.h"
#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(200);

// A process whose checks are this late was suspended, or had so little processor time
// that other daemons may have replaced it as the granter.
constexpr Duration kSuspensionTime = milliseconds(1000);

// A request for permits is sent again after the first time and given up after the second
// one. Within a region the reply takes a few milliseconds.
constexpr Duration kAskRepeatTime = milliseconds(15);
constexpr Duration kAskTimeout = milliseconds(50);

// No permits are asked for in this time after a request without a reply, or after the
// reply of a daemon that does not grant.
constexpr Duration kNoGranterPause = milliseconds(200);

// A daemon that was not heard for this time is gone for good. Until then it may be cut
// off, and grants or gets its share of the limits.
constexpr Duration kAbsenceTime = std::chrono::seconds(60);

// Limit for the daemons that are remembered, several times the size of a fleet.
constexpr size_t kMaxDaemons = 2000;

} // namespace

void PermitSystem::Start()
{
  checkedAt_ = world_.Now();
  world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { OnCheck(); });
}

void PermitSystem::Run()
{
  for (const std::string& id : std::exchange(world_.permitsWanted, {})) {
    BackendRow* backend = world_.backends.Find(id);
    if (backend != nullptr && backend->permits.PendingAsk() == nullptr) {
      GetPermits(*backend);
    }
  }
}

void PermitSystem::OnCheck()
{
  DetectSuspension();
  checkedAt_ = world_.Now();
  const bool hasSettled =
    world_.Now() >= world_.started + PeerTimeout(world_.heartbeatInterval);
  const bool grants = hasSettled && !world_.stoppingSince;
  if (grants != world_.grantsPermits) {
    world_.grantsPermits = grants;
    world_.isDigestDue = true;
  }
  UpdateGranters();
  IndexBackends();
  std::erase_if(buckets_, [&](const auto& aItem) {
    const BackendRow* row = world_.backends.Find(aItem.first);
    return row == nullptr || !row->limit.Enforced() ||
           granters_.GranterOf(row->key).host != world_.options.host;
  });
}

void PermitSystem::DetectSuspension()
{
  if (world_.Now() - checkedAt_ > kSuspensionTime) {
    granters_.Restart(world_.Now());
    buckets_.clear();
  }
}

void PermitSystem::UpdateGranters()
{
  const TimePoint now = world_.Now();
  granters_.SetEligible(now, world_.options.host, world_.grantsPermits);
  size_t alive = 1;
  for (const auto& [host, peer] : world_.peers) {
    const bool isServing = peer.isAlive && !peer.digest.isStopping;
    alive += isServing ? 1 : 0;
    granters_.SetEligible(now, host, isServing && peer.digest.grantsPermits);
  }
  std::erase_if(heardAt_,
                [&](const auto& aItem) { return aItem.second + kAbsenceTime <= now; });
  const size_t known = std::max(heardAt_.size() + 1, world_.DaemonCount());
  world_.aliveShare = static_cast<double>(alive) / static_cast<double>(known);
  granters_.SetAliveShare(now, world_.aliveShare, PeerTimeout(world_.heartbeatInterval));
}

void PermitSystem::IndexBackends()
{
  idOfKey_.clear();
  for (const auto& [id, row] : world_.backends) {
    idOfKey_.emplace(row.key, id);
    if (row.limit.Enforced()) {
      LogGranter(row);
    } else {
      granters_.Forget(row.key);
      loggedGranters_.erase(id);
    }
  }
}

void PermitSystem::LogGranter(const BackendRow& aBackend)
{
  const std::string& host = granters_.GranterOf(aBackend.key).host;
  std::string& logged = loggedGranters_[aBackend.entry.id];
  if (host == logged) {
    return;
  }
  logged = host;
  world_.Log(LogLevel::Info, "permit_granter", {},
             { { "backend", aBackend.entry.id },
               { "granter", host.empty() ? "none" : host },
               { "share", std::to_string(granters_.Share()) } });
}

BackendRow* PermitSystem::FindBackend(uint32_t aKey)
{
  const auto found = idOfKey_.find(aKey);
  return found == idOfKey_.end() ? nullptr : world_.backends.Find(found->second);
}

void PermitSystem::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  if (digest.daemon == world_.options.host) {
    return;
  }
  if (digest.isStopping) {
    heardAt_.erase(digest.daemon);
  } else if (heardAt_.size() < kMaxDaemons || heardAt_.contains(digest.daemon)) {
    heardAt_[digest.daemon] = world_.Now();
  }
  for (const GossipedLimit& limit : digest.limits) {
    if (BackendRow* backend = FindBackend(limit.backend)) {
      ApplyLimit(world_, *backend, limit.statement, digest.daemon);
    }
  }
  granters_.SetEligible(world_.Now(), digest.daemon,
                        digest.grantsPermits && !digest.isStopping);
}

void PermitSystem::GetPermits(BackendRow& aBackend)
{
  const TimePoint now = world_.Now();
  PermitStock& stock = aBackend.permits;
  const Granter& granter = granters_.GranterOf(aBackend.key);
  const PeerRow* peer = world_.peers.Find(granter.host);
  const bool isOwn = granter.host == world_.options.host;
  if (!isOwn && peer == nullptr) {
    stock.Deny(now + kNoGranterPause);
    return;
  }
  const PermitStock::Ask& ask = stock.BeginAsk(now, ++lastAsk_);
  if (isOwn) {
    const PermitGrant grant = Grant(
      aBackend, { .process = world_.ProcessName(), .id = ask.id, .wanted = ask.wanted });
    stock.EndAsk(now, ask.id, grant);
    return;
  }
  world_.counters.Add(EntryCounter::PermitsAsked);
  SendAsk(aBackend, ask, peer->address);
}

void PermitSystem::SendAsk(const BackendRow& aBackend, const PermitStock::Ask& aAsk,
                           const std::string& aGranter)
{
  world_.Emit(SendPermitMessage{
    .to = aGranter,
    .message = PermitRequest{ .process = world_.ProcessName(),
                              .id = aAsk.id,
                              .backend = aBackend.key,
                              .wanted = aAsk.wanted,
                              .statement = aBackend.limit.Latest() } });
  const TimePoint timeout = aAsk.firstSentAt + kAskTimeout;
  world_.timers.SubscribeAt(std::min(world_.Now() + kAskRepeatTime, timeout),
                            [this, backend = aBackend.entry.id, id = aAsk.id,
                             aGranter](TimePoint) { OnAskTimer(backend, id, aGranter); });
}

void PermitSystem::OnAskTimer(const std::string& aBackend, uint64_t aAsk,
                              const std::string& aGranter)
{
  BackendRow* backend = world_.backends.Find(aBackend);
  if (backend == nullptr) {
    return;
  }
  const PermitStock::Ask* ask = backend->permits.PendingAsk();
  if (ask == nullptr || ask->id != aAsk) {
    return;
  }
  if (world_.Now() < ask->firstSentAt + kAskTimeout) {
    SendAsk(*backend, *ask, aGranter);
    return;
  }
  world_.counters.Add(EntryCounter::PermitsUnanswered);
  backend->permits.Deny(world_.Now() + kNoGranterPause);
}

void PermitSystem::Handle(const PermitRequestReceived& aEvent)
{
  const PermitRequest& request = aEvent.request;
  BackendRow* backend = FindBackend(request.backend);
  PermitGrant grant{ .askAgainAfter = kNoGranterPause };
  LimitStatement statement = request.statement;
  if (backend != nullptr) {
    ApplyLimit(world_, *backend, request.statement, request.process);
    grant =
      Grant(*backend,
            { .process = request.process, .id = request.id, .wanted = request.wanted });
    statement = backend->limit.Latest();
  }
  world_.Emit(
    SendPermitMessage{ .to = aEvent.from,
                       .message = PermitReply{ .process = world_.ProcessName(),
                                               .id = request.id,
                                               .backend = request.backend,
                                               .granted = grant.permits,
                                               .askAgainAfter = grant.askAgainAfter,
                                               .statement = statement } });
}

void PermitSystem::Handle(const PermitReplyReceived& aEvent)
{
  const PermitReply& reply = aEvent.reply;
  BackendRow* backend = FindBackend(reply.backend);
  if (backend == nullptr) {
    return;
  }
  ApplyLimit(world_, *backend, reply.statement, reply.process);
  backend->permits.EndAsk(
    world_.Now(), reply.id,
    { .permits = reply.granted, .askAgainAfter = reply.askAgainAfter });
}

PermitGrant PermitSystem::Grant(BackendRow& aBackend, const PermitDemand& aDemand)
{
  DetectSuspension();
  const TimePoint now = world_.Now();
  const Granter& granter = granters_.GranterOf(aBackend.key);
  if (granter.host != world_.options.host || world_.stoppingSince) {
    return { .askAgainAfter = kNoGranterPause };
  }
  const auto rate = aBackend.limit.Enforced();
  if (!rate) {
    return { .permits = aDemand.wanted };
  }
  if (now < granters_.GrantsFrom(granter)) {
    return { .askAgainAfter =
               std::min(granters_.GrantsFrom(granter) - now, kNoGranterPause) };
  }
  PermitBucket& bucket =
    buckets_.try_emplace(aBackend.entry.id, PermitBucket(now)).first->second;
  bucket.SetRate(now, *rate * granters_.Share());
  const PermitGrant grant = bucket.Grant(now, aDemand);
  world_.counters.Add(EntryCounter::PermitsGranted, grant.permits);
  world_.counters.Add(EntryCounter::PermitsDenied, grant.permits == 0 ? 1 : 0);
  return grant;
}

} // namespace gooseberrypath::entry
