#include "entry/probe_port.h"

#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/http_io.h"
#include "gooseberrypath/longest_waiting.h"

namespace gooseberrypath::entry {

namespace {

// Time before accepting goes on after a failure: the process may have no free descriptor.
constexpr Duration kAcceptRetryTime = std::chrono::milliseconds(50);

} // namespace

ProbePort::ProbePort(ProbePortOptions aOptions)
  : options_(std::move(aOptions))
  , server_(options_.timer, HeaderTable(), *this)
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    listener_ = (*address)->listen();
  } else {
    kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "the listen address for probes is malformed"));
  }
  tasks_.add(AcceptLoop());
}

kj::Promise<void> ProbePort::AcceptLoop()
{
  return listener_->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) -> kj::Promise<void> {
        Serve(kj::mv(aStream));
        return kj::READY_NOW;
      },
      [this](kj::Exception&&) -> kj::Promise<void> {
        return options_.timer.afterDelay(ToKj(kAcceptRetryTime));
      })
    .then([this] { return AcceptLoop(); });
}

void ProbePort::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  if (connections_.size() >= options_.maxConnections) {
    ++droppedConnections_;
    if (!MakeRoomForConnection()) {
      return; // closes it
    }
  }
  const uint64_t id = ++lastConnection_;
  auto connection = kj::heap<Connection>();
  connection->openedAt = TimeOf(options_.timer);
  auto served = connection->canceler.wrap(server_.listenHttp(kj::mv(aStream)));
  connections_.emplace(id, kj::mv(connection));
  // Broken connections and bad requests are the other side's failures.
  tasks_.add(
    served.catch_([](kj::Exception&&) {}).then([this, id] { connections_.erase(id); }));
}

bool ProbePort::MakeRoomForConnection()
{
  LongestWaiting<const uint64_t> oldest(TimeOf(options_.timer));
  for (const auto& [id, connection] : connections_) {
    oldest.Offer(id, connection->openedAt);
  }
  if (oldest.Get() == nullptr) {
    return false;
  }
  connections_.erase(*oldest.Get()); // cancels what serves it
  return true;
}

ProbePort::Page ProbePort::PageFor(kj::StringPtr aPath) const
{
  if (aPath.endsWith("/metrics")) {
    return { .contentType = "text/plain", .body = options_.renderMetrics() };
  }
  if (aPath.endsWith("/status")) {
    return { .contentType = "application/json", .body = options_.renderStatus() };
  }
  return { .status = isReady_ ? 200 : 503,
           .contentType = "text/plain",
           .body = isReady_ ? "ready\n" : "not ready\n" };
}

kj::Promise<void> ProbePort::request(kj::HttpMethod, kj::StringPtr aUrl,
                                     const kj::HttpHeaders&, kj::AsyncInputStream&,
                                     Response& aResponse)
{
  auto page = kj::heap<Page>(PageFor(aUrl));
  kj::HttpHeaders headers(HeaderTable());
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, page->contentType);
  auto out = aResponse.send(static_cast<kj::uint>(page->status),
                            ReasonPhrase(page->status), headers, page->body.size());
  auto written = out->write(page->body.data(), page->body.size());
  return written.attach(kj::mv(out), kj::mv(page));
}

} // namespace gooseberrypath::entry
