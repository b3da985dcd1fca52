// Immutable bytes that several holders share, with the memory charged for them. The last
// holder frees both.
//
//   SharedBytes body(std::move(text), charge.Split(capacity));
//   socket.Write(body);   // holds the same bytes

#ifndef GOOSEBERRYPATH_SHARED_BYTES_H_
#define GOOSEBERRYPATH_SHARED_BYTES_H_

#include <memory>
#include <string>
#include <string_view>

#include "gooseberrypath/memory_account.h"

namespace gooseberrypath {

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

  /// Returns these other bytes, charged to the same account even beyond its bound. For
  /// what is made of the bytes and lives beside them.
  SharedBytes Derive(std::string aBytes) const;

  const char* begin() const { return View().data(); }
  const char* end() const { return View().data() + size(); }

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

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SHARED_BYTES_H_
