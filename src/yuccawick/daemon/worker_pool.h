// A few threads that carry out jobs in the order given.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace yuccawick::daemon {

class WorkerPool {
 public:
  using Job = std::function<void()>;

  explicit WorkerPool(std::size_t threads);
  // Waits for the jobs under way; drops those not begun.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Add(Job job);

 private:
  void Work();

  std::mutex               m_mutex;
  std::condition_variable  m_added;
  std::deque<Job>          m_jobs;
  bool                     m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace yuccawick::daemon
