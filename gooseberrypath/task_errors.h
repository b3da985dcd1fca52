// Error handler for the kj task sets of the ports.
//
//   TaskErrors errors;
//   kj::TaskSet tasks(errors);

#ifndef GOOSEBERRYPATH_TASK_ERRORS_H_
#define GOOSEBERRYPATH_TASK_ERRORS_H_

#include <cstdint>
#include <string>

#include <kj/async.h>

namespace gooseberrypath {

/// Counts the background tasks that ended with an exception, so that none reaches the
/// event loop. Each expected failure is handled by its task; a count above zero is a bug.
class TaskErrors final : public kj::TaskSet::ErrorHandler
{
public:
  void taskFailed(kj::Exception&& aException) override
  {
    ++count_;
    last_ = aException.getDescription().cStr();
  }

  uint64_t Count() const { return count_; }

  /// Returns the description of the last exception, or an empty string.
  const std::string& Last() const { return last_; }

private:
  uint64_t count_ = 0;
  std::string last_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TASK_ERRORS_H_
