#include "entry/digest_port.h"

#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

namespace {

// Limit for a received datagram. Digests of large fleets take a few KB.
constexpr size_t kMaxDatagramBytes = size_t{ 60 } * 1024;

// Limit for the cache of parsed peer addresses, which is cleared when it grows beyond
// this.
constexpr size_t kMaxCachedAddresses = 2000;

} // namespace

DigestPort::DigestPort(DigestPortOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    port_ = (*address)->bindDatagramPort();
  } else {
    kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "the listen address for peers is malformed"));
  }
  kj::DatagramReceiver::Capacity capacity;
  capacity.content = kMaxDatagramBytes;
  receiver_ = port_->makeReceiver(capacity);
  tasks_.add(ReceiveLoop());
}

void DigestPort::Execute(const SendDigest& aAction)
{
  const auto bytes = std::make_shared<const std::string>(EncodeDigest(aAction.digest));
  for (const std::string& to : aAction.to) {
    Send(to, bytes);
  }
}

void DigestPort::Execute(const SendPermitMessage& aAction)
{
  Send(aAction.to,
       std::make_shared<const std::string>(EncodePermitMessage(aAction.message)));
}

void DigestPort::Execute(const SendPlacementMessage& aAction)
{
  Send(aAction.to,
       std::make_shared<const std::string>(EncodePlacementMessage(aAction.message)));
}

void DigestPort::Send(const std::string& aTo,
                      const std::shared_ptr<const std::string>& aBytes)
{
  if (addressCache_.size() > kMaxCachedAddresses) {
    addressCache_.clear();
  }
  auto found = addressCache_.find(aTo);
  if (found == addressCache_.end()) {
    KJ_IF_MAYBE (address, ParseAddress(options_.network, aTo)) {
      found = addressCache_.emplace(aTo, kj::mv(*address)).first;
    } else {
      return; // a peer listed a malformed address
    }
  }
  auto address = found->second->clone();
  // A send error is treated like a lost datagram: the next message makes up for it.
  tasks_.add(port_->send(aBytes->data(), aBytes->size(), *address)
               .then([aBytes](size_t) {}, [aBytes](kj::Exception&&) {})
               .attach(kj::mv(address)));
}

void DigestPort::Receive(std::span<const char> aBytes, const std::string& aFrom)
{
  if (IsPermitMessage(aBytes)) {
    ReceivePermit(aBytes, aFrom);
  } else if (IsPlacementMessage(aBytes)) {
    ReceivePlacement(aBytes, aFrom);
  } else if (auto digest = DecodeDigest(aBytes)) {
    options_.sink(DigestReceived{ aFrom, *std::move(digest) });
  } else {
    ++malformedCount_;
  }
}

void DigestPort::ReceivePermit(std::span<const char> aBytes, const std::string& aFrom)
{
  auto message = DecodePermitMessage(aBytes);
  if (!message) {
    ++malformedCount_;
  } else if (auto* request = std::get_if<PermitRequest>(&*message)) {
    options_.sink(PermitRequestReceived{ aFrom, std::move(*request) });
  } else {
    options_.sink(PermitReplyReceived{ std::get<PermitReply>(*std::move(message)) });
  }
}

void DigestPort::ReceivePlacement(std::span<const char> aBytes, const std::string& aFrom)
{
  auto message = DecodePlacementMessage(aBytes);
  if (!message) {
    ++malformedCount_;
  } else if (auto* request = std::get_if<PlaceRequest>(&*message)) {
    options_.sink(PlaceRequestReceived{ aFrom, std::move(*request) });
  } else if (auto* reply = std::get_if<PlaceReply>(&*message)) {
    options_.sink(PlaceReplyReceived{ aFrom, *reply });
  } else {
    options_.sink(PlaceReleaseReceived{ std::get<PlaceRelease>(*std::move(message)) });
  }
}

kj::Promise<void> DigestPort::ReceiveLoop()
{
  return receiver_->receive()
    .then(
      [this] {
        const auto content = receiver_->getContent();
        const auto chars = content.value.asChars();
        if (content.isTruncated) {
          ++malformedCount_;
          return;
        }
        Receive({ chars.begin(), chars.size() },
                receiver_->getSource().toString().cStr());
      },
      // A datagram that was sent earlier and refused by its receiver can surface here as
      // a receive error. The loop continues with the next datagram.
      [](kj::Exception&&) {})
    .then([this] { return ReceiveLoop(); });
}

} // namespace gooseberrypath::entry
