#include "entry/permit_message.h"

#include <algorithm>
#include <optional>

#include "entry/limit_wire.h"
#include "entry/packed_message.h"
#include "entry/permit.capnp.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// No digest begins with this byte: it would be a message of more segments than fit into a
// datagram.
constexpr char kTag = '\xff';

// A permit message has one struct with a short text; this is several times its size.
constexpr PackedMessageLimits kLimits{ .maxWords = 1024, .maxNesting = 4 };

constexpr size_t kMaxProcessBytes = 256;

// Longer times are cut; a daemon asks again at the latest after this time.
constexpr Duration kMaxAskAgain = std::chrono::seconds(10);

void Fill(const PermitRequest& aRequest, wire::PermitMessage::Builder aBuilder)
{
  aBuilder.setWanted(aRequest.wanted);
}

void Fill(const PermitReply& aReply, wire::PermitMessage::Builder aBuilder)
{
  aBuilder.setGranted(aReply.granted);
  const auto again = std::chrono::ceil<milliseconds>(
    std::clamp<Duration>(aReply.askAgainAfter, Duration::zero(), kMaxAskAgain));
  aBuilder.setAskAgainMs(static_cast<uint32_t>(again.count()));
}

PermitMessage Read(wire::PermitMessage::Reader aReader)
{
  const auto process = aReader.getProcess();
  const std::string name(process.begin(), process.size());
  const LimitStatement statement = ReadStatement(aReader.getStatement());
  if (aReader.isWanted()) {
    return PermitRequest{ .process = name,
                          .id = aReader.getId(),
                          .backend = aReader.getBackend(),
                          .wanted = aReader.getWanted(),
                          .statement = statement };
  }
  return PermitReply{ .process = name,
                      .id = aReader.getId(),
                      .backend = aReader.getBackend(),
                      .granted = aReader.getGranted(),
                      .askAgainAfter = std::min<Duration>(
                        milliseconds(aReader.getAskAgainMs()), kMaxAskAgain),
                      .statement = statement };
}

} // namespace

std::string EncodePermitMessage(const PermitMessage& aMessage)
{
  return kTag + EncodePacked<wire::PermitMessage>([&](auto aBuilder) {
           std::visit(
             [&](const auto& aOne) {
               aBuilder.setProcess({ aOne.process.c_str(), aOne.process.size() });
               aBuilder.setId(aOne.id);
               aBuilder.setBackend(aOne.backend);
               FillStatement(aOne.statement, aBuilder.initStatement());
               Fill(aOne, aBuilder);
             },
             aMessage);
         });
}

bool IsPermitMessage(std::span<const char> aBytes)
{
  return !aBytes.empty() && aBytes.front() == kTag;
}

Result<PermitMessage> DecodePermitMessage(std::span<const char> aBytes)
{
  if (!IsPermitMessage(aBytes)) {
    return MakeError(ErrorKind::BadRequest, "the datagram is no permit message");
  }
  std::optional<PermitMessage> message;
  if (const auto error = DecodePacked<wire::PermitMessage>(
        aBytes.subspan(1), kLimits, [&](auto aReader) { message = Read(aReader); })) {
    return tl::make_unexpected(*error);
  }
  const bool isValid = std::visit(
    [](const auto& aOne) {
      return !aOne.process.empty() && aOne.process.size() <= kMaxProcessBytes &&
             IsValid(aOne.statement);
    },
    *message);
  if (!isValid) {
    return MakeError(ErrorKind::BadRequest,
                     "the permit message has no sender or an invalid limit");
  }
  return *std::move(message);
}

} // namespace gooseberrypath::entry
