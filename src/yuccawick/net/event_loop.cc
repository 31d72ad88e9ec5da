#include "yuccawick/net/event_loop.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>
#include <utility>

namespace yuccawick::net {
namespace {

constexpr int  kEventsPerWait = 128;
constexpr Time kMillisPerSecond = 1000;
constexpr Time kNanosPerMilli = 1'000'000;
// Maximum wait in ms when no timer is set. Bounds how late a clock jump after a
// suspension of the VM is noticed.
constexpr Time kMaxWait = 1000;

std::uint32_t Mask(bool read, bool write, bool end) {
  std::uint32_t mask = end ? EPOLLRDHUP : 0U;
  if (read) mask |= EPOLLIN;
  if (write) mask |= EPOLLOUT;
  // EPOLLHUP and EPOLLERR cannot be masked. Reports them once instead of in
  // every iteration.
  if (mask == 0) mask = EPOLLET;
  return mask;
}

}  // namespace

Time Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<Time>(time.tv_sec) * kMillisPerSecond +
         static_cast<Time>(time.tv_nsec) / kNanosPerMilli;
}

EventLoop::EventLoop(Clock clock)
    : m_clock(std::move(clock)),
      m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_now(m_clock()) {
  std::array<int, 2> pipe_ends{};
  if (m_epoll < 0 || pipe2(pipe_ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "event loop");
  }
  m_wake_read = pipe_ends[0];
  m_wake_write = pipe_ends[1];
  Control(EPOLL_CTL_ADD, m_wake_read, EPOLLIN);
}

EventLoop::~EventLoop() {
  // Tasks may own the last reference to objects that use this loop.
  RunDeferred();
  m_deferred.clear();
  auto timers = std::exchange(m_timers, {});
  timers.clear();
  m_deferred.clear();
  close(m_wake_read);
  close(m_wake_write);
  close(m_epoll);
}

void EventLoop::Control(int operation, int fd, std::uint32_t events) const {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(m_epoll, operation, fd, &event);
}

void EventLoop::Watch(int fd, SocketHandler* handler, bool read, bool write) {
  const std::uint32_t mask = Mask(read, write, true);
  m_sockets[fd] = {handler, mask};
  Control(EPOLL_CTL_ADD, fd, mask);
}

void EventLoop::Change(int fd, bool read, bool write, bool end) {
  const auto found = m_sockets.find(fd);
  if (found == m_sockets.end()) return;
  const std::uint32_t mask = Mask(read, write, end);
  if (found->second.events == mask) return;
  found->second.events = mask;
  Control(EPOLL_CTL_MOD, fd, mask);
}

void EventLoop::Forget(int fd) {
  if (m_sockets.erase(fd) > 0) Control(EPOLL_CTL_DEL, fd, 0);
}

TimerId EventLoop::After(Duration delay, Task task) {
  const TimerId id = ++m_last_timer;
  const Time    due = m_now + std::max<Duration>(delay, 0);
  m_timers.emplace(std::pair(due, id), std::move(task));
  m_timer_times.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId* timer) {
  const auto found = m_timer_times.find(*timer);
  if (found != m_timer_times.end()) {
    m_timers.erase({found->second, *timer});
    m_timer_times.erase(found);
  }
  *timer = 0;
}

void EventLoop::Defer(Task task) { m_deferred.push_back(std::move(task)); }

void EventLoop::Post(Task task) {
  {
    const std::scoped_lock lock(m_posted_lock);
    m_posted.push_back(std::move(task));
  }
  // A full pipe already contains a wake-up, so a failed write is harmless.
  [[maybe_unused]] const auto written = write(m_wake_write, "w", 1);
}

Duration EventLoop::WaitTime() const {
  if (!m_deferred.empty()) return 0;
  if (m_timers.empty()) return kMaxWait;
  const Duration remaining = m_timers.begin()->first.first - m_clock();
  return std::clamp<Duration>(remaining, 0, kMaxWait);
}

void EventLoop::Dispatch(int fd, std::uint32_t events) {
  if (fd == m_wake_read) {
    RunPosted();
    return;
  }
  const auto handler_of = [&]() -> SocketHandler* {
    const auto found = m_sockets.find(fd);
    return found == m_sockets.end() ? nullptr : found->second.handler;
  };
  SocketHandler* handler = handler_of();
  if (handler == nullptr) return;
  if ((events & EPOLLIN) != 0) handler->OnReadable();
  // The handler may have closed its socket and its descriptor may be reused.
  if (handler_of() != handler) return;
  if ((events & EPOLLOUT) != 0) handler->OnWritable();
  if (handler_of() != handler) return;
  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) handler->OnHangup();
}

void EventLoop::RunTimers() {
  while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
    auto node = m_timers.extract(m_timers.begin());
    m_timer_times.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::RunDeferred() {
  std::vector<Task> tasks;
  tasks.swap(m_deferred);
  for (const Task& task : tasks) task();
}

void EventLoop::RunPosted() {
  std::array<char, 64> buffer{};
  while (read(m_wake_read, buffer.data(), buffer.size()) > 0) {
  }
  std::vector<Task> tasks;
  {
    const std::scoped_lock lock(m_posted_lock);
    tasks.swap(m_posted);
  }
  for (const Task& task : tasks) task();
}

int EventLoop::RunOnce(Duration wait) {
  std::array<epoll_event, kEventsPerWait> events{};
  const int count = epoll_wait(m_epoll, events.data(), kEventsPerWait,
                               static_cast<int>(wait));
  m_now = m_clock();
  for (int i = 0; i < count; ++i) {
    const auto& event = events[static_cast<std::size_t>(i)];
    Dispatch(event.data.fd, event.events);
  }
  RunTimers();
  RunDeferred();
  return count;
}

void EventLoop::Run() {
  while (!m_stopped) RunOnce(WaitTime());
}

}  // namespace yuccawick::net
