#include "gooseberrypath/job_appender.h"

#include <algorithm>
#include <utility>

namespace gooseberrypath {

namespace {

/// An append without an answer is repeated after this multiple of
/// CoreOptions::appendRetry, so that a slow log does not receive every record many times.
constexpr int kUnansweredFactor = 5;
/// Repeats slow down up to 2^4 times CoreOptions::appendRetry, because the log takes only
/// several hundred appends per second from all daemons.
constexpr uint32_t kMaxDoublings = 4;

} // namespace

JobAppender::Ticket JobAppender::Begin(const Record& aRecord)
{
  auto ticket = std::make_shared<Appending>(Appending{ .data = EncodeRecord(aRecord) });
  Append(ticket);
  open_.push_back(ticket);
  return ticket;
}

void JobAppender::Append(const Ticket& aTicket)
{
  const uint32_t doublings = std::min(aTicket->tries, kMaxDoublings);
  ++aTicket->tries;
  aTicket->newest = world_.NewId<AppendId>();
  aTicket->due =
    world_.Now() + world_.options.appendRetry * kUnansweredFactor * (1 << doublings);
  sent_[aTicket->newest] = aTicket;
  world_.Emit(AppendRecord{ .append = aTicket->newest,
                            .stream = std::string(kJobStream),
                            .data = aTicket->data });
}

void JobAppender::Run()
{
  std::erase_if(open_, [](const auto& aOpen) {
    const Ticket ticket = aOpen.lock();
    return !ticket || ticket->isConfirmed;
  });
  for (const auto& open : open_) {
    const Ticket ticket = open.lock();
    if (world_.Now() >= ticket->due) {
      Append(ticket);
    }
  }
}

void JobAppender::Handle(const AppendDone& aEvent)
{
  const auto found = sent_.find(aEvent.append);
  if (found != sent_.end()) {
    if (const Ticket ticket = found->second.lock()) {
      ticket->isConfirmed = true;
    }
    sent_.erase(found);
  }
}

void JobAppender::Handle(const AppendFailed& aEvent)
{
  const auto found = sent_.find(aEvent.append);
  if (found == sent_.end()) {
    return;
  }
  const Ticket ticket = found->second.lock();
  sent_.erase(found);
  world_.counters.Add(Counter::AppendFailures);
  if (ticket && ticket->newest == aEvent.append) {
    const uint32_t doublings = std::min(ticket->tries - 1, kMaxDoublings);
    ticket->due = world_.Now() + world_.options.appendRetry * (1 << doublings);
  }
}

} // namespace gooseberrypath
