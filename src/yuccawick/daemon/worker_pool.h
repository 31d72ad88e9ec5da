// A fixed-size thread pool that starts jobs in FIFO order.
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
  // Waits for running jobs; discards queued ones.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Add(Job job);

 private:
  void RunJobs();

  std::mutex               m_mutex;
  std::condition_variable  m_added;
  std::deque<Job>          m_jobs;
  bool                     m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace yuccawick::daemon
