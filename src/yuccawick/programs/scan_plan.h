// Decides which records of a partition to read next, so that a scan reaches the
// newest turns first and still reads every record.
//
// After a full restart or an outage, all nodes look up the last turns of
// running programs, which are at the end of the log. If more than a few pages
// are unread, the unread range becomes a gap that is read backwards in pieces;
// after each piece the plan reads new records at the end of the partition.
//
//   ScanPlan plan;
//   plan.Begin();  // a scan starts
//   while (!plan.complete()) {
//     page = read from plan.from();
//     plan.OnPageRead(page.next, page.end, page.records.size());
//   }
//
// A failed read needs no call: the next scan continues from the same offset.
#pragma once

#include <cstdint>

namespace yuccawick::programs {

using Offset = std::int64_t;  // of a record in its partition

class ScanPlan {
 public:
  // Starts a scan, or extends the current one to records appended since.
  void   Begin();
  // Offset of the next read.
  Offset from() const { return m_in_gap ? m_piece_next : m_next; }
  // Call after the read at from() returned `records` records; `next` is the
  // offset after them, `end` the end of the partition.
  void   OnPageRead(Offset next, Offset end, Offset records);
  // Call when the records before `first` no longer exist. Returns true if some
  // of them were not read.
  bool   OnRecordsDeleted(Offset first);
  // True if all records were read up to an end of the partition that was seen
  // since Begin().
  bool   complete() const { return m_complete; }
  // True if the next read is at the end of the partition, not in the gap.
  bool   at_end() const { return !m_in_gap; }
  // Offset after the newest known record.
  Offset end() const { return m_next > m_end ? m_next : m_end; }

 private:
  bool HasGap() const { return m_gap_from < m_gap_to; }
  void OnReadAtEnd(Offset next, Offset end);
  void OnReadInGap(Offset next);
  void BeginPiece();

  Offset m_next = 0;          // all records before it were read, except the gap
  Offset m_end = 0;           // last known end of the partition
  Offset m_page_records = 1;  // records in the last full page
  Offset m_gap_from = 0;
  Offset m_gap_to = 0;  // all records from here to m_next were read
  Offset m_piece_begin = 0;
  Offset m_piece_next = 0;
  bool   m_in_gap = false;
  bool   m_complete = false;
};

// Maximum number of unread pages that are read in order, without a gap: each
// piece of a gap costs an extra read at the end of the partition.
inline constexpr Offset kMaxInOrderPages = 2;

}  // namespace yuccawick::programs
