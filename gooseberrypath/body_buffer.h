// The body of a request while it is read. It grows in one buffer with memory of its own,
// so that bodies that grow side by side leave no holes in the heap.
//
//   const size_t capacity = body.CapacityFor(body.size() + bytes.size(), limit);
//   if (charge.TryResize(capacity)) { body.Append(bytes, capacity); }

#ifndef GOOSEBERRYPATH_BODY_BUFFER_H_
#define GOOSEBERRYPATH_BODY_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrypath {

/// The memory that a body begins with if its length is unknown or larger. It has its own
/// pages then.
inline constexpr size_t kFirstBodyBytes = size_t{ 16 } * 1024;

class BodyBuffer
{
public:
  explicit BodyBuffer(size_t aFirstBytes = kFirstBodyBytes)
    : firstBytes_(aFirstBytes)
  {
  }

  size_t size() const { return bytes_.size(); }

  /// Returns the memory that the buffer takes up, in bytes.
  size_t Capacity() const { return bytes_.capacity(); }

  /// Returns the capacity to reserve for a body of aSize bytes so far, with room for what
  /// is still to come of a body of aLimit bytes at most. It is never below the current
  /// one.
  size_t CapacityFor(size_t aSize, size_t aLimit) const;

  /// Appends bytes after growing to this capacity, which must be enough for them.
  void Append(std::string_view aBytes, size_t aCapacity);

  /// Returns the bytes and leaves the buffer empty, without memory.
  std::string Take() { return std::exchange(bytes_, {}); }

  /// Frees the memory.
  void Release()
  {
    std::string().swap(bytes_); // an assignment of an empty string would keep the memory
  }

private:
  size_t firstBytes_;
  std::string bytes_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_BODY_BUFFER_H_
