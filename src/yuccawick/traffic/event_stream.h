// Splits a text/event-stream into whole events.
//
// A server may stop in the middle of an event; only whole events are passed on,
// so that a stream can go on elsewhere after the last one.
#pragma once

#include <string>
#include <string_view>

namespace yuccawick::traffic {

struct StreamEvent {
  std::string_view bytes;  // as received, its blank line included
  std::string_view id;     // empty if it has none
  std::string      data;   // its data lines, joined by line feeds
};

// Longest event taken, in bytes; far above the largest text of one event.
inline constexpr std::size_t kMaxEventBytes = 1UL << 20;

class EventSplitter {
 public:
  // Adds bytes; false if an event grew past kMaxEventBytes.
  bool Add(std::string_view bytes);
  // The next whole event, valid until the next call; false if there is none.
  bool Next(StreamEvent* event);
  // Bytes of an event whose end has not come.
  bool has_partial() const { return m_start < m_buffer.size(); }

 private:
  std::string m_buffer;
  std::size_t m_start = 0;
};

}  // namespace yuccawick::traffic
