// The messages by which daemons ask each other for permits to send requests to a limited
// backend, and their encoding in datagrams.
//
//   std::string bytes = EncodePermitMessage(PermitRequest{ ... });
//   if (IsPermitMessage(bytes)) { Result<PermitMessage> received = ...; }

#ifndef ENTRY_PERMIT_MESSAGE_H_
#define ENTRY_PERMIT_MESSAGE_H_

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "entry/backend_limit.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Asks for permits. The same request may arrive more than once.
struct PermitRequest
{
  std::string process;      // name of the asking process
  uint64_t id = 0;          // grows with each request of the process
  uint32_t backend = 0;     // hash of the backend's id
  uint32_t wanted = 1;      // permits
  LimitStatement statement; // the backend's limit as the asking daemon knows it
};

/// Answers a request. A permit is used soon after the request was sent, or not at all.
struct PermitReply
{
  std::string process;      // name of the granting process
  uint64_t id = 0;          // of the request
  uint32_t backend = 0;     // hash of the backend's id
  uint32_t granted = 0;     // permits
  Duration askAgainAfter{}; // the daemon gets no further permits before this time
  LimitStatement statement; // the backend's limit as the granting daemon knows it
};

using PermitMessage = std::variant<PermitRequest, PermitReply>;

/// Returns the message as a datagram.
std::string EncodePermitMessage(const PermitMessage& aMessage);

/// Tells whether the datagram is a permit message and not a digest.
bool IsPermitMessage(std::span<const char> aBytes);

/// Parses a datagram. Fails with BadRequest.
Result<PermitMessage> DecodePermitMessage(std::span<const char> aBytes);

} // namespace gooseberrypath::entry

#endif // ENTRY_PERMIT_MESSAGE_H_
