#include "entry/digest_port.h"

#include <memory>
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
  if (addressCache_.size() > kMaxCachedAddresses) {
    addressCache_.clear();
  }
  for (const std::string& to : aAction.to) {
    auto found = addressCache_.find(to);
    if (found == addressCache_.end()) {
      KJ_IF_MAYBE (address, ParseAddress(options_.network, to)) {
        found = addressCache_.emplace(to, kj::mv(*address)).first;
      } else {
        continue; // a peer listed a malformed address
      }
    }
    auto address = found->second->clone();
    // A send error is treated like a lost datagram: the next digest carries the state
    // again.
    tasks_.add(port_->send(bytes->data(), bytes->size(), *address)
                 .then([bytes](size_t) {}, [bytes](kj::Exception&&) {})
                 .attach(kj::mv(address)));
  }
}

kj::Promise<void> DigestPort::ReceiveLoop()
{
  return receiver_->receive()
    .then(
      [this] {
        const auto content = receiver_->getContent();
        const auto chars = content.value.asChars();
        auto digest = DecodeDigest({ chars.begin(), chars.size() });
        if (!digest || content.isTruncated) {
          ++malformedCount_;
          return;
        }
        options_.sink(
          DigestReceived{ receiver_->getSource().toString().cStr(), *std::move(digest) });
      },
      // A datagram that was sent earlier and refused by its receiver can surface here as
      // a receive error. The loop continues with the next datagram.
      [](kj::Exception&&) {})
    .then([this] { return ReceiveLoop(); });
}

} // namespace gooseberrypath::entry
