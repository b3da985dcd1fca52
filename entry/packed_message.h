// Packed Cap'n Proto messages in datagrams.
//
//   std::string bytes = EncodePacked<wire::Digest>([&](auto aBuilder) { ... });
//   auto error = DecodePacked<wire::Digest>(bytes, limits, [&](auto aReader) { ... });

#ifndef ENTRY_PACKED_MESSAGE_H_
#define ENTRY_PACKED_MESSAGE_H_

#include <optional>
#include <span>
#include <string>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "gooseberrypath/errors.h"

namespace gooseberrypath::entry {

/// Limits for a message that is read. A packed message of zeros unpacks to a thousand
/// times its size.
struct PackedMessageLimits
{
  uint64_t maxWords = 0; // of 8 bytes, unpacked
  int maxNesting = 0;
};

/// Returns the message that the function fills.
template<typename Root, typename F>
std::string EncodePacked(F aFill)
{
  capnp::MallocMessageBuilder builder;
  aFill(builder.initRoot<Root>());
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, builder);
  const auto bytes = packed.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

/// Passes the message to the function. Returns BadRequest if it cannot be read.
template<typename Root, typename F>
std::optional<Error> DecodePacked(std::span<const char> aBytes,
                                  PackedMessageLimits aLimits, F aRead)
{
  std::optional<Error> error;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream packed(
      kj::ArrayPtr<const char>(aBytes.data(), aBytes.size()).asBytes());
    capnp::PackedMessageReader reader(packed, { .traversalLimitInWords = aLimits.maxWords,
                                                .nestingLimit = aLimits.maxNesting });
    aRead(reader.getRoot<Root>());
  });
  KJ_IF_MAYBE (problem, failure) {
    error = Error{ ErrorKind::BadRequest, problem->getDescription().cStr() };
  }
  return error;
}

} // namespace gooseberrypath::entry

#endif // ENTRY_PACKED_MESSAGE_H_
