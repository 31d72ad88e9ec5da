#include "yuccawick/traffic/event_stream.h"

namespace yuccawick::traffic {
namespace {

// Parses "NAME: VALUE" or "NAME:VALUE"; false if the line has another name.
bool ParseField(std::string_view line, std::string_view name,
                std::string_view* value) {
  if (!line.starts_with(name)) return false;
  line.remove_prefix(name.size());
  if (!line.starts_with(":")) return false;
  line.remove_prefix(1);
  if (line.starts_with(" ")) line.remove_prefix(1);
  *value = line;
  return true;
}

void ParseEventFields(StreamEvent* event) {
  std::string_view rest = event->bytes;
  bool             first = true;
  event->is_comment = true;
  while (!rest.empty()) {
    const auto       end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with("\r")) line.remove_suffix(1);
    std::string_view value;
    if (ParseField(line, "id", &value)) {
      event->id = value;
      event->is_comment = false;
    }
    if (ParseField(line, "data", &value)) {
      if (!first) event->data += '\n';
      event->data += value;
      event->is_comment = false;
      first = false;
    }
  }
}

}  // namespace

bool EventSplitter::Add(std::string_view bytes) {
  m_buffer.erase(0, m_start);
  m_start = 0;
  m_buffer.append(bytes);
  return m_buffer.size() <= kMaxEventBytes && m_comment_bytes <= kMaxEventBytes;
}

bool EventSplitter::Next(StreamEvent* event) {
  std::string_view rest = m_buffer;
  rest.remove_prefix(m_start);
  const auto  lf_position = rest.find("\n\n");
  const auto  crlf_position = rest.find("\r\n\r\n");
  std::size_t size = 0;
  if (crlf_position < lf_position) {
    size = crlf_position + 4;
  } else if (lf_position != std::string_view::npos) {
    size = lf_position + 2;
  } else {
    return false;
  }
  *event = {};
  event->bytes = rest.substr(0, size);
  m_start += size;
  ParseEventFields(event);
  m_comment_bytes = event->is_comment ? m_comment_bytes + size : 0;
  return true;
}

}  // namespace yuccawick::traffic
