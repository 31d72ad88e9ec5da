// Which part of a partition to read next, so that a search finds recent turns
// soon and still ends with all of it read.
//
// Load pattern: all nodes start anew, or come back from an outage, and the
// programs under way ask for their last turns at once. These lie at the end of
// the log, and read from its beginning they came last: after megabytes that
// every reader of the fleet reads at the same time.
//
// So whatever lies between what was read and the end of the log, if it is more
// than a few pages, becomes a gap that is read backwards, piece by piece. Each
// piece is followed by a look at the end: turns go on ending meanwhile.
//
//   ScanPlan plan;
//   plan.Begin();                      // a search starts
//   while (!plan.complete()) {
//     page = read from plan.from();
//     plan.OnPageRead(page.next, page.end, page.records.size());
//   }
//
// A read that failed changes nothing: the next search goes on from there.
#pragma once

#include <cstdint>

namespace yuccawick::programs {

using Offset = std::int64_t;  // of a record in its partition

class ScanPlan {
 public:
  // Also during a search: it then covers what was appended up to now.
  void   Begin();
  Offset from() const { return m_in_gap ? m_piece_next : m_next; }
  // What was read from from(): the offset to go on at, the end of the
  // partition, the number of records.
  void   OnPageRead(Offset next, Offset end, Offset records);
  // Records before `first` are deleted. True if some of them were not read.
  bool   OnRecordsDeleted(Offset first);
  // Everything was read up to an end that was seen since Begin().
  bool   complete() const { return m_complete; }
  // Whether the next read is one at the end of the partition.
  bool   at_end() const { return !m_in_gap; }
  // Where the next records will lie, as far as is known.
  Offset end() const { return m_next > m_end ? m_next : m_end; }

 private:
  bool HasGap() const { return m_gap_from < m_gap_to; }
  void TookAtEnd(Offset next, Offset end);
  void TookInGap(Offset next);
  void BeginPiece();

  Offset m_next = 0;  // read up to here, but for the gap
  Offset m_end = 0;   // as last heard
  Offset m_page = 1;  // records that a page holds, as last seen
  Offset m_gap_from = 0;
  Offset m_gap_to = 0;  // nothing is missing from here to m_next
  Offset m_piece_from = 0;
  Offset m_piece_next = 0;
  bool   m_in_gap = false;
  bool   m_complete = false;
};

// Pages that are read in order before a gap is worth it: its looks at the end
// cost a call each.
inline constexpr Offset kFewPages = 2;

}  // namespace yuccawick::programs
