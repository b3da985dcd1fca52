#include "gooseberrypath/caller_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/caller_head.h"
#include "gooseberrypath/longest_waiting.h"

namespace gooseberrypath {

namespace {

// kj 0.9 refuses a head that does not fit its buffer of fixed size, 64 KiB. The margin is
// for bytes of the previous request that were read together with the head.
constexpr size_t kMinTooLargeHead = 60'000;

// Parts in which answers are written.
constexpr size_t kWriteBytes = size_t{ 64 } * 1024;

} // namespace

CallerHttp::Connection::Connection(CallerHttp& aPort)
  : port_(aPort)
  , waitsSince_(TimeOf(aPort.options_.timer))
  , headCharge_(aPort.options_.memory)
  , requestCharge_(aPort.options_.memory)
{
  port_.connections_.insert(this);
}

CallerHttp::Connection::~Connection() noexcept(false)
{
  port_.connections_.erase(this);
}

size_t CallerHttp::Connection::LargestRequest(size_t aBodyBytes, size_t aHeaderBytes)
{
  return aBodyBytes + LargestHeadMemory(aHeaderBytes);
}

void CallerHttp::Connection::CloseLater()
{
  if (!std::exchange(isClosing_, true)) {
    port_.tasks_.add(kj::evalLater([self = kj::addRef(*this)]() mutable {
      self->canceler.cancel("closed by the server");
    }));
  }
}

void CallerHttp::Connection::Refuse(Error aError)
{
  refusal_ = std::move(aError);
  Release();
  canceler.cancel("refused by the server");
}

void CallerHttp::Connection::RefuseLater(Error aError)
{
  port_.tasks_.add(
    kj::evalLater([self = kj::addRef(*this), error = std::move(aError)]() mutable {
      self->Refuse(std::move(error));
    }));
}

void CallerHttp::Connection::Drop()
{
  isClosing_ = true;
  Release();
  canceler.cancel("closed by the server");
}

void CallerHttp::Connection::BeginWait()
{
  waitsSince_ = TimeOf(port_.options_.timer);
}

std::optional<TimePoint> CallerHttp::Connection::StalledSince() const
{
  const size_t held = headCharge_.Bytes() + requestCharge_.Bytes();
  return held >= kMinDroppedBytes ? WaitsSince() : std::nullopt;
}

void CallerHttp::Connection::WaitForTaking(bool aIsWriting)
{
  untakenSince_ = aIsWriting ? std::optional(TimeOf(port_.options_.timer)) : std::nullopt;
}

bool CallerHttp::Connection::Charge(MemoryCharge& aCharge, size_t aBytes)
{
  return aCharge.TryResize(aBytes) ||
         (port_.MakeRoom(aBytes - aCharge.Bytes(), *this) && aCharge.TryResize(aBytes));
}

bool CallerHttp::Connection::ChargeHead(size_t aBytes, size_t aFields)
{
  return Charge(headCharge_,
                std::max(headCharge_.Bytes(), ParserMemory(aBytes, aFields)));
}

MemoryCharge CallerHttp::Connection::TakeRequestCharge()
{
  return requestCharge_.Split(requestCharge_.Bytes());
}

void CallerHttp::Connection::Release()
{
  headCharge_.Resize(0);
  requestCharge_.Resize(0);
  waitsSince_.reset();
  untakenSince_.reset();
}

void CallerHttp::Connection::Linger(kj::Own<kj::AsyncIoStream> aStream,
                                    kj::Maybe<Error> aError)
{
  Release();
  if (isClosing_ || port_.isClosing_) {
    return; // the caller is gone or too slow
  }
  if (refusal_) {
    aError = std::move(*refusal_);
  }
  BeginWait();
  port_.tasks_.add(kj::evalLater([self = kj::addRef(*this), stream = kj::mv(aStream),
                                  error = kj::mv(aError)]() mutable {
    if (self->isClosing_) {
      return kj::Promise<void>(kj::READY_NOW);
    }
    auto closed = self->port_.CloseLingering(kj::mv(stream), kj::mv(error));
    auto lingering = self->canceler.wrap(kj::mv(closed));
    return lingering.catch_([](kj::Exception&&) {}).attach(kj::mv(self));
  }));
}

CallerHttp::Stream::Stream(kj::Own<kj::AsyncIoStream> aInner,
                           kj::Own<Connection> aConnection)
  : connection(kj::mv(aConnection))
  , inner_(kj::mv(aInner))
{
}

CallerHttp::Stream::~Stream() noexcept(false)
{
  if (isEnded_ || isReading_) {
    connection->Release();
    return;
  }
  kj::Maybe<Error> error;
  if (isHeadExpected_ && headBytes_ > 0) {
    // kj closes the connection without an answer in these two cases.
    error = headBytes_ < kMinTooLargeHead
              ? Error{ ErrorKind::RequestTimeout, "the head was sent too slowly" }
              : Error{ ErrorKind::HeadersTooLarge, "the head is too large" };
  }
  connection->Linger(kj::mv(inner_), kj::mv(error));
}

void CallerHttp::Stream::ExpectHead(bool aIsExpected)
{
  isHeadExpected_ = aIsExpected;
  headBytes_ = 0;
  if (aIsExpected) {
    connection->BeginWait();
  } else {
    connection->EndWait();
  }
}

void CallerHttp::Stream::NoteRead(size_t aBytes)
{
  if (aBytes == 0 || !isHeadExpected_) {
    return;
  }
  if (headBytes_ == 0) {
    connection->BeginWait();
  }
  headBytes_ += aBytes;
  if (!connection->ChargeHead(headBytes_, 0)) {
    ++connection->GetPort().shortages_.refusedRequests;
    kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "no memory for the head"));
  }
}

void CallerHttp::Stream::WatchEnd(std::function<void()> aOnEnd)
{
  onEnd_ = std::move(aOnEnd);
  if (onEnd_ == nullptr || isReading_ || begin_ < end_) {
    return;
  }
  if (isEnded_) {
    std::exchange(onEnd_, nullptr)();
    return;
  }
  isReading_ = true;
  ahead_ = inner_->tryRead(buffer_, 1, sizeof(buffer_))
             .then(
               [this](size_t aRead) {
                 begin_ = 0;
                 end_ = aRead;
                 isEnded_ = aRead == 0;
               },
               [this](kj::Exception&&) { isEnded_ = true; })
             .then([this] {
               isReading_ = false;
               if (isEnded_ && onEnd_ != nullptr) {
                 std::exchange(onEnd_, nullptr)();
               }
             })
             .fork();
  reader_ =
    ahead_.addBranch().eagerlyEvaluate([this](kj::Exception&&) { isEnded_ = true; });
}

kj::Promise<size_t> CallerHttp::Stream::tryRead(void* aBuffer, size_t aMin, size_t aMax)
{
  if (isReading_) {
    // A read is never cancelled, since it may already have taken data.
    return ahead_.addBranch().then(
      [this, aBuffer, aMin, aMax] { return tryRead(aBuffer, aMin, aMax); });
  }
  const size_t size = std::min(aMax, end_ - begin_);
  std::memcpy(aBuffer, buffer_ + begin_, size);
  begin_ += size;
  NoteRead(size);
  if (size >= aMin || isEnded_) {
    return size;
  }
  return inner_->tryRead(static_cast<char*>(aBuffer) + size, aMin - size, aMax - size)
    .then(
      [this, size, aMin](size_t aRead) {
        isEnded_ = size + aRead < aMin;
        NoteRead(aRead);
        return size + aRead;
      },
      [this](kj::Exception&& aError) -> size_t {
        isEnded_ = true;
        kj::throwFatalException(kj::mv(aError));
      });
}

kj::Promise<void> CallerHttp::Stream::write(const void* aBuffer, size_t aSize)
{
  headBytes_ = 0;
  return WriteParts(static_cast<const kj::byte*>(aBuffer), aSize);
}

kj::Promise<void> CallerHttp::Stream::WriteParts(const kj::byte* aBuffer, size_t aSize)
{
  connection->WaitForTaking(true);
  const size_t part = std::min(aSize, kWriteBytes);
  return inner_->write(aBuffer, part)
    .then([this, aBuffer, aSize, part]() -> kj::Promise<void> {
      if (part == aSize) {
        connection->WaitForTaking(false);
        return kj::READY_NOW;
      }
      return WriteParts(aBuffer + part, aSize - part);
    });
}

kj::Promise<void> CallerHttp::Stream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  headBytes_ = 0;
  connection->WaitForTaking(true);
  return inner_->write(aPieces).then([this] { connection->WaitForTaking(false); });
}

kj::Promise<void> CallerHttp::Stream::whenWriteDisconnected()
{
  return inner_->whenWriteDisconnected();
}

} // namespace gooseberrypath
