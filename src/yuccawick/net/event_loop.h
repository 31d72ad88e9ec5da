// Single-threaded event loop for sockets, timers and tasks.
//
// Use one loop per thread. All callbacks run on the loop's thread, so the
// objects it drives need no locks; only Post() may be called from other
// threads. Handlers may unregister themselves or others while they run.
//
// Sockets are watched with level-triggered epoll. POCO's PollSet is not used
// because it copies a map of all sockets on every wait.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace yuccawick::net {

// Milliseconds of CLOCK_BOOTTIME, which advances while the VM is suspended, so
// deadlines that pass meanwhile are seen as expired. Not wall-clock time.
using Time = std::int64_t;
using Duration = std::int64_t;  // ms

Time Now();

// Receives the events of one watched socket.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;  // data, end of stream or an error is pending
  virtual void OnWritable() = 0;
  virtual void OnHangup() = 0;  // the peer closed, or the socket failed
};

using TimerId = std::uint64_t;  // 0 is no timer

class EventLoop {
 public:
  using Task = std::function<void()>;
  using Clock = std::function<Time()>;

  // Tests pass a simulated clock.
  explicit EventLoop(Clock clock = Now);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void    Watch(int fd, SocketHandler* handler, bool read, bool write);
  // `end`: report that the peer closed its side even while `read` is false.
  // If all are false, a hang-up may still be reported, but not repeatedly.
  void    Change(int fd, bool read, bool write, bool end = true);
  void    Forget(int fd);
  TimerId After(Duration delay, Task task);
  void    Cancel(TimerId* timer);  // sets it to 0; no effect once it has run
  // Runs `task` on this thread after the current handlers.
  void    Defer(Task task);
  void    Post(Task task);  // like Defer(), from any thread
  void    Run();            // returns after Stop()
  // Runs one iteration that waits up to `wait` ms for sockets; returns the
  // number of sockets with events.
  int     RunOnce(Duration wait);
  void    Stop() { m_stopped = true; }
  bool    stopped() const { return m_stopped; }
  Time    now() const { return m_now; }  // start of the current iteration
  // Current time. Differs from now() if the process was suspended or handlers
  // ran for long within this iteration.
  Time    ReadClock() const { return m_clock(); }

 private:
  struct WatchedSocket {
    SocketHandler* handler = nullptr;
    std::uint32_t  events = 0;
  };
  void     Control(int operation, int fd, std::uint32_t events) const;
  Duration WaitTime() const;
  void     Dispatch(int fd, std::uint32_t events);
  void     RunTimers();
  void     RunDeferred();
  void     RunPosted();

  Clock                                    m_clock;
  int                                      m_epoll = -1;
  int                                      m_wake_read = -1;
  int                                      m_wake_write = -1;
  bool                                     m_stopped = false;
  Time                                     m_now = 0;
  TimerId                                  m_last_timer = 0;
  std::unordered_map<int, WatchedSocket>   m_sockets;
  std::map<std::pair<Time, TimerId>, Task> m_timers;
  std::unordered_map<TimerId, Time>        m_timer_times;
  std::vector<Task>                        m_deferred;
  std::mutex                               m_posted_lock;
  std::vector<Task>                        m_posted;  // under m_posted_lock
};

}  // namespace yuccawick::net
