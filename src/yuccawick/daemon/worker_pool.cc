#include "yuccawick/daemon/worker_pool.h"

#include <utility>

namespace yuccawick::daemon {

WorkerPool::WorkerPool(std::size_t threads) {
  for (std::size_t i = 0; i < threads; ++i)
    m_threads.emplace_back([this] { RunJobs(); });
}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_added.notify_all();
  for (auto& thread : m_threads) thread.join();
}

void WorkerPool::Add(Job job) {
  {
    const std::lock_guard lock(m_mutex);
    m_jobs.push_back(std::move(job));
  }
  m_added.notify_one();
}

void WorkerPool::RunJobs() {
  while (true) {
    Job job;
    {
      std::unique_lock lock(m_mutex);
      m_added.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
      if (m_stopping) return;
      job = std::move(m_jobs.front());
      m_jobs.pop_front();
    }
    job();
  }
}

}  // namespace yuccawick::daemon
