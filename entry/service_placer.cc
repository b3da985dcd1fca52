#include "entry/service_placer.h"

#include <algorithm>
#include <utility>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

// Bounds the queue's memory. More requests per slot than these would wait for too long to
// be of use.
constexpr size_t kMaxHeldPerSlot = 64;

/// Returns how long a request may wait for a slot, given the time that its call takes.
Duration LongestWait(const PlaceRequest& aRequest, double aWorkMs)
{
  const Duration useful = std::min(aRequest.timeLeft, aRequest.latencyObjective);
  return std::max<Duration>(useful - FromMs(aWorkMs), Duration::zero());
}

} // namespace

ServicePlacer::ServicePlacer(ServicePlacerOptions aOptions)
  : ledger_(aOptions.workMs)
  , queue_({ .maxEntries = kMaxHeldPerSlot * std::max(aOptions.slots, 1U),
             .seed = aOptions.seed })
{
}

void ServicePlacer::SetBackends(TimePoint aNow,
                                const std::map<uint32_t, PlaceableBackend>& aBackends,
                                double aShare)
{
  ledger_.SetShare(aShare);
  ledger_.SetBackends(aNow, aBackends);
}

PlacementDemand ServicePlacer::DemandOf(const PlaceRequest& aRequest, Duration aWaited)
{
  return { .key = { aRequest.process, aRequest.id },
           .dataCentre = aRequest.dataCentre,
           .timeLeft = std::max<Duration>(aRequest.timeLeft - aWaited, Duration::zero()),
           .latencyObjective = aRequest.latencyObjective,
           .excluded = aRequest.excluded };
}

PlaceReply ServicePlacer::Answer(TimePoint aNow, const std::string& aFrom,
                                 const PlaceRequest& aRequest)
{
  PlaceReply reply{ .id = aRequest.id, .service = aRequest.service };
  const Duration longestWait = LongestWait(aRequest, ledger_.WorkMs());
  const PlacementDemand demand = DemandOf(aRequest, Duration::zero());
  if (numberOf_.contains(demand.key)) {
    reply.outcome = PlaceOutcome::Held;
    reply.wait = longestWait;
    return reply;
  }
  // Requests that wait already are served first.
  const auto placed = ledger_.FindPlacement(demand.key);
  if (const auto backend =
        placed || !HoldsRequests() ? ledger_.PlaceSoon(aNow, demand) : std::nullopt) {
    if (!placed) {
      queue_.RecordService(aNow, aRequest.priority, aRequest.team);
    }
    reply.outcome = PlaceOutcome::Placed;
    reply.backend = *backend;
    return reply;
  }
  const uint64_t number = ++lastNumber_;
  const auto refused = queue_.Add(aNow,
                                  { .id = number,
                                    .priority = aRequest.priority,
                                    .team = aRequest.team,
                                    .arrived = aNow,
                                    .latestStart = aNow + longestWait },
                                  ledger_.SlotsPerSecond(aNow));
  if (refused) {
    reply.outcome = PlaceOutcome::Refused;
    reply.wait = *refused;
    return reply;
  }
  held_.emplace(number,
                HeldRequest{ .from = aFrom, .request = aRequest, .arrived = aNow });
  numberOf_.emplace(demand.key, number);
  reply.outcome = PlaceOutcome::Held;
  reply.wait = longestWait;
  return reply;
}

void ServicePlacer::Release(TimePoint aNow, const PlaceRelease& aRelease)
{
  const auto found = numberOf_.find({ aRelease.process, aRelease.id });
  if (found != numberOf_.end()) {
    Remove(found->second);
  }
  ledger_.Release(aNow, aRelease);
}

void ServicePlacer::Remove(uint64_t aNumber)
{
  const auto found = held_.find(aNumber);
  if (found == held_.end()) {
    return;
  }
  queue_.Remove(aNumber);
  numberOf_.erase({ found->second.request.process, found->second.request.id });
  held_.erase(found);
}

void ServicePlacer::RemoveProcess(const std::string& aProcess)
{
  std::vector<uint64_t> numbers;
  for (const auto& [number, held] : held_) {
    if (held.request.process == aProcess) {
      numbers.push_back(number);
    }
  }
  for (const uint64_t number : numbers) {
    Remove(number);
  }
  ledger_.RemoveProcess(aProcess);
}

std::vector<AddressedReply> ServicePlacer::TakeReplies(TimePoint aNow)
{
  std::vector<AddressedReply> replies;
  const auto answer = [&](uint64_t aNumber, PlaceReply aReply) {
    const HeldRequest& held = held_.at(aNumber);
    aReply.id = held.request.id;
    aReply.service = held.request.service;
    replies.push_back({ held.from, aReply });
    Remove(aNumber);
  };
  for (const QueueRefusal& refusal : queue_.TakeExpired(aNow)) {
    if (held_.contains(refusal.id)) {
      answer(refusal.id,
             { .outcome = PlaceOutcome::Refused, .wait = refusal.retryAfter });
    }
  }
  while (!queue_.IsEmpty() && ledger_.HasSlotForWaiting(aNow)) {
    const auto next = queue_.PopNext(aNow);
    if (!next) {
      break;
    }
    const auto held = held_.find(*next);
    if (held == held_.end()) {
      continue;
    }
    const Duration waited = aNow - held->second.arrived;
    const auto backend =
      ledger_.PlaceWaiting(aNow, DemandOf(held->second.request, waited));
    answer(*next, backend
                    ? PlaceReply{ .outcome = PlaceOutcome::Placed, .backend = *backend }
                    : PlaceReply{ .outcome = PlaceOutcome::NotPlacer });
  }
  return replies;
}

std::vector<AddressedReply> ServicePlacer::Dismiss()
{
  std::vector<AddressedReply> replies;
  while (!held_.empty()) {
    const auto& [number, held] = *held_.begin();
    replies.push_back({ held.from,
                        { .id = held.request.id,
                          .service = held.request.service,
                          .outcome = PlaceOutcome::NotPlacer } });
    Remove(number);
  }
  return replies;
}

} // namespace gooseberrypath::entry
