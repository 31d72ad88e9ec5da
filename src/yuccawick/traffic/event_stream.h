// Splits a text/event-stream into complete events.
//
// A server may fail in the middle of an event. Only complete events are passed
// on, so that the stream can be resumed elsewhere after the last one.
#pragma once

#include <string>
#include <string_view>

namespace yuccawick::traffic {

struct StreamEvent {
  std::string_view bytes;   // as received, including the blank line
  std::string_view id;      // empty if absent
  std::string      data;    // data lines, joined by line feeds
  bool is_comment = false;  // without id and data: comments, retry times
};

// Maximum size of an event, and of the comments between two events, in bytes.
inline constexpr std::size_t kMaxEventBytes = 1UL << 20;

class EventSplitter {
 public:
  // Appends received bytes; false if an event, or the comments since the last
  // event, exceed kMaxEventBytes.
  bool Add(std::string_view bytes);
  // Returns the next complete event, whose views are valid until the next call
  // of Add(); false if there is none.
  bool Next(StreamEvent* event);
  // True if an incomplete event is buffered.
  bool has_partial() const { return m_start < m_buffer.size(); }

 private:
  std::string m_buffer;
  std::size_t m_start = 0;
  std::size_t m_comment_bytes = 0;  // since the last event
};

}  // namespace yuccawick::traffic
