// Appends records to the stream "jobs" and repeats them until they are not needed.
//
//   JobAppender::Ticket ticket = appender.Begin(LeaseRecord{ ... });
//   ticket.reset();  // the record was read, or has no more use

#ifndef GOOSEBERRYPATH_JOB_APPENDER_H_
#define GOOSEBERRYPATH_JOB_APPENDER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gooseberrypath/records.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Appends records with repeats. A repeated record is harmless in JobTable.
class JobAppender
{
public:
  /// A record that is being appended.
  struct Appending
  {
    std::string data;
    AppendId newest{};
    TimePoint due{}; // of the next repeat
    uint32_t tries = 0;
    bool isConfirmed = false;
  };
  /// Keeps an append going. Dropping it ends the repeats.
  using Ticket = std::shared_ptr<Appending>;

  explicit JobAppender(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Appends the record now.
  Ticket Begin(const Record& aRecord);

  /// Repeats what is due.
  void Run();

  void Handle(const AppendDone& aEvent);
  void Handle(const AppendFailed& aEvent);

private:
  void Append(const Ticket& aTicket);

  World& world_;
  std::map<AppendId, std::weak_ptr<Appending>> sent_; // not answered
  std::vector<std::weak_ptr<Appending>> open_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_JOB_APPENDER_H_
