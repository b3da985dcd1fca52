#include "entry/placement_message.h"

#include <algorithm>
#include <cmath>

#include "entry/packed_message.h"
#include "entry/placement.capnp.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// No digest begins with this byte: it would be a message of more segments than fit into a
// datagram. Permit messages begin with another one.
constexpr char kTag = '\xfe';

// A placement message has one struct, a short text and a short list; this is several
// times its size.
constexpr PackedMessageLimits kLimits{ .maxWords = 1024, .maxNesting = 4 };

constexpr size_t kMaxProcessBytes = 256;
constexpr size_t kMaxExcluded = 16;

// Longer times are cut.
constexpr Duration kMaxTime = std::chrono::hours(1);

enum Kind : uint8_t
{
  kRequest = 0,
  kReply = 1,
  kRelease = 2,
};

uint32_t ToMs(Duration aTime)
{
  const Duration bounded = std::clamp<Duration>(aTime, Duration::zero(), kMaxTime);
  return static_cast<uint32_t>(std::chrono::ceil<milliseconds>(bounded).count());
}

Duration FromMs(uint32_t aMs)
{
  return std::min<Duration>(milliseconds(aMs), kMaxTime);
}

void Fill(const PlaceRequest& aRequest, wire::PlacementMessage::Builder aBuilder)
{
  aBuilder.setKind(kRequest);
  aBuilder.setProcess({ aRequest.process.c_str(), aRequest.process.size() });
  aBuilder.setId(aRequest.id);
  aBuilder.setService(aRequest.service);
  aBuilder.setPriority(static_cast<uint8_t>(std::min(aRequest.priority, 255U)));
  aBuilder.setTeam(aRequest.team);
  aBuilder.setDataCentre(aRequest.dataCentre);
  aBuilder.setTimeLeftMs(ToMs(aRequest.timeLeft));
  aBuilder.setObjectiveMs(ToMs(aRequest.latencyObjective));
  const size_t count = std::min(aRequest.excluded.size(), kMaxExcluded);
  if (count > 0) {
    aBuilder.setExcluded(kj::arrayPtr(aRequest.excluded.data(), count));
  }
}

void Fill(const PlaceReply& aReply, wire::PlacementMessage::Builder aBuilder)
{
  aBuilder.setKind(kReply);
  aBuilder.setId(aReply.id);
  aBuilder.setService(aReply.service);
  aBuilder.setOutcome(static_cast<uint8_t>(aReply.outcome));
  aBuilder.setBackend(aReply.backend);
  aBuilder.setWaitMs(ToMs(aReply.wait));
}

void Fill(const PlaceRelease& aRelease, wire::PlacementMessage::Builder aBuilder)
{
  aBuilder.setKind(kRelease);
  aBuilder.setProcess({ aRelease.process.c_str(), aRelease.process.size() });
  aBuilder.setId(aRelease.id);
  aBuilder.setService(aRelease.service);
  aBuilder.setBackend(aRelease.backend);
  aBuilder.setWasUsed(aRelease.wasUsed);
  aBuilder.setTimeAtBackendUs(static_cast<uint32_t>(
    std::clamp<Duration>(aRelease.timeAtBackend, Duration::zero(), kMaxTime).count()));
  if (aRelease.report) {
    const LoadReport& report = aRelease.report->report;
    aBuilder.setRunning(report.running);
    aBuilder.setWaiting(report.waiting);
    aBuilder.setSlots(report.slots);
    aBuilder.setPace(static_cast<float>(report.pace));
    aBuilder.setReportAgeMs(ToMs(aRelease.report->age));
  }
}

PlaceRequest ReadRequest(wire::PlacementMessage::Reader aReader)
{
  const auto process = aReader.getProcess();
  PlaceRequest request{ .process = { process.begin(), process.size() },
                        .id = aReader.getId(),
                        .service = aReader.getService(),
                        .priority = aReader.getPriority(),
                        .team = aReader.getTeam(),
                        .dataCentre = aReader.getDataCentre(),
                        .timeLeft = FromMs(aReader.getTimeLeftMs()),
                        .latencyObjective = FromMs(aReader.getObjectiveMs()) };
  for (const uint32_t backend : aReader.getExcluded()) {
    if (request.excluded.size() < kMaxExcluded) {
      request.excluded.push_back(backend);
    }
  }
  return request;
}

PlaceReply ReadReply(wire::PlacementMessage::Reader aReader)
{
  return { .id = aReader.getId(),
           .service = aReader.getService(),
           .outcome = static_cast<PlaceOutcome>(aReader.getOutcome()),
           .backend = aReader.getBackend(),
           .wait = FromMs(aReader.getWaitMs()) };
}

PlaceRelease ReadRelease(wire::PlacementMessage::Reader aReader)
{
  const auto process = aReader.getProcess();
  PlaceRelease release{ .process = { process.begin(), process.size() },
                        .id = aReader.getId(),
                        .service = aReader.getService(),
                        .backend = aReader.getBackend(),
                        .wasUsed = aReader.getWasUsed(),
                        .timeAtBackend = std::min<Duration>(
                          microseconds(aReader.getTimeAtBackendUs()), kMaxTime) };
  if (aReader.getSlots() > 0) {
    release.report = AgedLoadReport{ .report = { .running = aReader.getRunning(),
                                                 .waiting = aReader.getWaiting(),
                                                 .slots = aReader.getSlots(),
                                                 .pace = aReader.getPace() },
                                     .age = FromMs(aReader.getReportAgeMs()) };
  }
  return release;
}

std::optional<PlacementMessage> Read(wire::PlacementMessage::Reader aReader)
{
  switch (aReader.getKind()) {
    case kRequest:
      return ReadRequest(aReader);
    case kReply:
      return ReadReply(aReader);
    case kRelease:
      return ReadRelease(aReader);
    default:
      return std::nullopt;
  }
}

bool IsProcessValid(const std::string& aProcess)
{
  return !aProcess.empty() && aProcess.size() <= kMaxProcessBytes;
}

bool IsValid(const PlaceRequest& aRequest)
{
  return IsProcessValid(aRequest.process);
}

bool IsValid(const PlaceReply& aReply)
{
  return aReply.outcome <= PlaceOutcome::NotPlacer;
}

bool IsValid(const PlaceRelease& aRelease)
{
  return IsProcessValid(aRelease.process) &&
         (!aRelease.report || (std::isfinite(aRelease.report->report.pace) &&
                               aRelease.report->report.pace > 0));
}

} // namespace

std::string EncodePlacementMessage(const PlacementMessage& aMessage)
{
  return kTag + EncodePacked<wire::PlacementMessage>([&](auto aBuilder) {
           std::visit([&](const auto& aOne) { Fill(aOne, aBuilder); }, aMessage);
         });
}

bool IsPlacementMessage(std::span<const char> aBytes)
{
  return !aBytes.empty() && aBytes.front() == kTag;
}

Result<PlacementMessage> DecodePlacementMessage(std::span<const char> aBytes)
{
  if (!IsPlacementMessage(aBytes)) {
    return MakeError(ErrorKind::BadRequest, "the datagram is no placement message");
  }
  std::optional<PlacementMessage> message;
  if (const auto error = DecodePacked<wire::PlacementMessage>(
        aBytes.subspan(1), kLimits, [&](auto aReader) { message = Read(aReader); })) {
    return tl::make_unexpected(*error);
  }
  if (!message || !std::visit([](const auto& aOne) { return IsValid(aOne); }, *message)) {
    return MakeError(ErrorKind::BadRequest,
                     "the placement message has an unknown kind or an invalid value");
  }
  return *std::move(message);
}

} // namespace gooseberrypath::entry
