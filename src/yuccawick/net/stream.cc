#include "yuccawick/net/stream.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace yuccawick::net {
namespace {

constexpr std::size_t kMaxReadBytes = 64UL * 1024;  // maximum bytes per recv()
// Maximum capacity in bytes that an empty write buffer keeps.
constexpr std::size_t kMaxIdleBuffer = 16UL * 1024;

// Returns the socket's pending error, or 0.
int PendingError(int fd) {
  int       error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

Stream::Stream(EventLoop* loop, StreamOwner* owner, int fd, bool connecting,
               BufferMeter* meter)
    : m_loop(loop),
      m_owner(owner),
      m_meter(meter),
      m_fd(fd),
      m_connecting(connecting) {
  m_loop->Watch(m_fd, this, !connecting, connecting);
}

Stream::~Stream() { Close(); }

void Stream::Write(std::string_view bytes) {
  if (m_fd < 0) return;
  const bool was_empty = pending() == 0;
  if (was_empty) m_progress_at = m_loop->now();
  m_buffer.append(bytes);
  if (was_empty && !m_connecting) {
    Flush();
  } else {
    Meter();
  }
}

Duration Stream::stalled() const {
  return pending() == 0 ? 0 : m_loop->now() - m_progress_at;
}

bool Stream::HasInput() const {
  pollfd socket{m_fd, POLLIN, 0};
  return m_fd >= 0 && poll(&socket, 1, 0) > 0;
}

void Stream::Trim() {
  if (pending() == 0) {
    m_buffer.clear();
    m_sent = 0;
    if (m_buffer.capacity() > kMaxIdleBuffer) m_buffer.shrink_to_fit();
  } else if (m_sent > m_buffer.size() / 2) {
    // Copies what is left, since erasing would keep the whole capacity.
    m_buffer = std::string(m_buffer, m_sent);
    m_sent = 0;
  }
}

void Stream::Meter() {
  if (m_meter != nullptr) m_meter->Set(m_buffer.size());
}

void Stream::Flush() {
  while (pending() > 0) {
    const auto sent =
        send(m_fd, m_buffer.data() + m_sent, pending(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      // Errors are reported as a hangup: calling the owner here would
      // re-enter it from its own Write().
      if (!WouldBlock() && m_send_error == 0) m_send_error = errno;
      break;
    }
    m_sent += static_cast<std::size_t>(sent);
    m_progress_at = m_loop->now();
  }
  Trim();
  Meter();
  if (pending() == 0 && m_end_after_flush) shutdown(m_fd, SHUT_WR);
  Update();
}

void Stream::Update() {
  if (m_fd < 0) return;
  const bool read = m_reading == Reading::kOn && !m_connecting;
  const bool write = m_connecting || (pending() > 0 && m_send_error == 0);
  m_loop->Change(m_fd, read, write, m_reading != Reading::kOff);
}

void Stream::SetReading(Reading reading) {
  m_reading = reading;
  Update();
}

void Stream::EndWriting() {
  m_end_after_flush = true;
  if (m_fd >= 0 && pending() == 0) shutdown(m_fd, SHUT_WR);
}

void Stream::Close() {
  if (m_fd < 0) return;
  m_loop->Forget(m_fd);
  close(m_fd);
  m_fd = -1;
  m_sent = m_buffer.size();
  Trim();
  Meter();
}

void Stream::Reset() {
  if (m_fd < 0) return;
  const linger immediate{1, 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  Close();
}

CloseCause Stream::EndCause() const {
  // The kernel reports an error only once, so after a failed send() the end of
  // the stream alone does not show a reset. EPIPE means that the peer ended its
  // side before.
  const bool in_order = m_send_error == 0 || m_send_error == EPIPE;
  return in_order ? CloseCause::kEnd : CloseCause::kReset;
}

void Stream::Fail(CloseCause cause) {
  if (m_fd < 0) return;
  Close();
  m_owner->OnClosed(cause);
}

void Stream::OnReadable() {
  // An earlier handler of this iteration may have paused reading.
  if (m_reading != Reading::kOn) return;
  std::array<char, kMaxReadBytes> buffer;  // NOLINT: filled by recv
  const auto received = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (received > 0) {
    m_owner->OnBytes({buffer.data(), static_cast<std::size_t>(received)});
  } else if (received == 0) {
    Fail(EndCause());
  } else if (!WouldBlock() && errno != EINTR) {
    Fail(CloseCause::kReset);
  }
}

void Stream::OnWritable() {
  if (m_connecting) {
    if (PendingError(m_fd) != 0) {
      Fail(CloseCause::kReset);
      return;
    }
    m_connecting = false;
    m_owner->OnConnected();
    if (m_fd < 0) return;
  }
  const bool had_bytes = pending() > 0;
  Flush();
  if (had_bytes && pending() == 0) m_owner->OnDrained();
}

void Stream::OnHangup() {
  if (PendingError(m_fd) != 0) {
    Fail(CloseCause::kReset);
    return;
  }
  switch (m_reading) {
    case Reading::kOn:
      // Delivers the remaining bytes, then the end of the stream.
      OnReadable();
      break;
    case Reading::kWatchEnd:
      Fail(EndCause());
      break;
    case Reading::kOff:
      // Bytes may precede the end. It is reported again once reading resumes.
      break;
  }
}

}  // namespace yuccawick::net
