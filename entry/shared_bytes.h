// Immutable bytes that several holders share, with the memory charged for them. The last
// holder frees both.
//
//   SharedBytes body(std::move(text), charge.Split(capacity));
//   socket.Write(body);   // holds the same bytes

#ifndef ENTRY_SHARED_BYTES_H_
#define ENTRY_SHARED_BYTES_H_

#include <memory>
#include <string>
#include <string_view>

#include "entry/request_memory.h"

namespace gooseberrypath::entry {

class SharedBytes
{
public:
  SharedBytes() = default;

  // The conversions are implicit so that a string is a message's body without ceremony.
  SharedBytes(std::string aBytes, MemoryCharge aCharge = {});
  SharedBytes(const char* aBytes)
    : SharedBytes(std::string(aBytes))
  {
  }

  operator std::string_view() const { return View(); }

  std::string_view View() const
  {
    return holder_ == nullptr ? std::string_view() : std::string_view(holder_->bytes);
  }

  size_t size() const { return View().size(); }
  bool empty() const { return View().empty(); }

  bool operator==(std::string_view aOther) const { return View() == aOther; }

private:
  struct Holder
  {
    std::string bytes;
    MemoryCharge charge;
  };

  std::shared_ptr<const Holder> holder_; // null: no bytes
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SHARED_BYTES_H_
