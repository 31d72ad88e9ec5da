#include "yuccawick/programs/scan_plan.h"

#include <algorithm>

namespace yuccawick::programs {
namespace {

constexpr Offset kPieceEighths = 7;  // of a page
constexpr Offset kEighths = 8;

}  // namespace

void ScanPlan::Begin() {
  m_complete = false;
  m_in_gap = false;
}

void ScanPlan::OnPageRead(Offset next, Offset end, Offset records) {
  m_end = std::max(m_end, end);
  // A look that found the last few records says nothing of a page's size; taken
  // for it, a gap would be read a page for each record.
  if (next < end && records > 0) m_page = records;
  if (m_in_gap) {
    TookInGap(next);
  } else {
    TookAtEnd(next, end);
  }
}

void ScanPlan::TookAtEnd(Offset next, Offset end) {
  m_next = std::max(m_next, next);
  const Offset left = end - m_next;
  if (left <= 0) {
    m_complete = !HasGap();
    if (HasGap()) BeginPiece();
  } else if (!HasGap() && left > kFewPages * m_page) {
    m_gap_from = m_next;
    m_gap_to = end;
    m_next = end;
    BeginPiece();
  }
}

void ScanPlan::BeginPiece() {
  m_in_gap = true;
  // Shorter than a page: records differ in size, and the few that a page did
  // not hold would cost another.
  const Offset piece = std::max<Offset>(1, m_page * kPieceEighths / kEighths);
  m_piece_from = std::max(m_gap_from, m_gap_to - piece);
  m_piece_next = m_piece_from;
}

void ScanPlan::TookInGap(Offset next) {
  m_piece_next = std::max(m_piece_next, next);
  // Its records were larger than those of the page before: the rest follows.
  if (m_piece_next < m_gap_to) return;
  m_gap_to = m_piece_from;
  m_in_gap = false;
}

bool ScanPlan::OnRecordsDeleted(Offset first) {
  const bool unread = m_next < first || (HasGap() && m_gap_from < first);
  m_next = std::max(m_next, first);
  m_gap_from = std::max(m_gap_from, first);
  m_gap_to = std::max(m_gap_to, m_gap_from);
  m_in_gap = false;
  return unread;
}

}  // namespace yuccawick::programs
