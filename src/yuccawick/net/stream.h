// Non-blocking TCP connection with a write buffer.
//
// The owner receives bytes through OnBytes(). Write() never blocks; it buffers
// what the kernel does not accept. For backpressure, pause the source while
// pending() is above a limit and resume on OnDrained().
#pragma once

#include <string>
#include <string_view>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::net {

enum class CloseCause : std::uint8_t {
  kEnd,    // the peer closed its side in order
  kReset,  // reset, timed out, or never established
};

enum class Reading : std::uint8_t {
  kOn,        // bytes are delivered
  kWatchEnd,  // bytes stay in the kernel; the peer's close is reported, and
              // drops them
  kOff,       // bytes and the peer's close wait until reading resumes; a reset
              // is reported at once
};

// Receives the size of a stream's write buffer whenever it changes.
class BufferMeter {
 public:
  virtual ~BufferMeter() = default;
  virtual void Set(std::size_t bytes) = 0;
};

// Callbacks may close the stream, but may destroy it only through
// EventLoop::Defer().
class StreamOwner {
 public:
  virtual ~StreamOwner() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnDrained() {}  // the write buffer became empty
  virtual void OnClosed(CloseCause cause) = 0;
};

class Stream final : public SocketHandler {
 public:
  // Takes ownership of `fd`. `connecting`: OnConnected() is called once the
  // connection is established. `meter` may be nullptr.
  Stream(EventLoop* loop, StreamOwner* owner, int fd, bool connecting,
         BufferMeter* meter = nullptr);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void        Write(std::string_view bytes);
  void        SetReading(Reading reading);
  void        EndWriting();  // half-closes once the buffer is sent
  void        Close();       // immediate; no further callbacks
  void        Reset();       // like Close(), but sends a TCP reset
  bool        is_open() const { return m_fd >= 0; }
  std::size_t pending() const { return m_buffer.size() - m_sent; }
  // Time in ms since the peer last accepted buffered bytes; 0 if none are
  // pending.
  Duration    stalled() const;
  // Whether received bytes, or the peer's close, wait in the kernel.
  bool        HasInput() const;

  void OnReadable() override;
  void OnWritable() override;
  void OnHangup() override;

 private:
  void       Flush();
  void       Update();
  // How the peer's side ended, once no bytes are left to read.
  CloseCause EndCause() const;
  void       Fail(CloseCause cause);
  // Frees the part of the buffer that was sent.
  void       Trim();
  void       Meter();

  EventLoop*   m_loop;
  StreamOwner* m_owner;
  BufferMeter* m_meter;
  int          m_fd;
  bool         m_connecting;
  Reading      m_reading = Reading::kOn;
  bool         m_end_after_flush = false;
  int          m_send_error = 0;  // errno of the first failed send(), or 0
  std::string  m_buffer;
  std::size_t  m_sent = 0;  // bytes at the start of m_buffer that were sent
  Time         m_progress_at = 0;  // last time bytes were queued or sent
};

}  // namespace yuccawick::net
