#include "yuccawick/programs/scan_plan.h"

#include <algorithm>

namespace yuccawick::programs {
namespace {

constexpr Offset kPieceEighths = 7;  // gap piece, in eighths of a page
constexpr Offset kEighths = 8;

}  // namespace

void ScanPlan::Begin() {
  m_complete = false;
  m_in_gap = false;
}

void ScanPlan::OnPageRead(Offset next, Offset end, Offset records) {
  m_end = std::max(m_end, end);
  // A short read at the end says nothing about the page size. Using it would
  // split the gap into pieces of a few records each.
  if (next < end && records > 0) m_page_records = records;
  if (m_in_gap) {
    OnReadInGap(next);
  } else {
    OnReadAtEnd(next, end);
  }
}

void ScanPlan::OnReadAtEnd(Offset next, Offset end) {
  m_next = std::max(m_next, next);
  const Offset left = end - m_next;
  if (left <= 0) {
    m_complete = !HasGap();
    if (HasGap()) BeginPiece();
  } else if (!HasGap() && left > kMaxInOrderPages * m_page_records) {
    m_gap_from = m_next;
    m_gap_to = end;
    m_next = end;
    BeginPiece();
  }
}

void ScanPlan::BeginPiece() {
  m_in_gap = true;
  // Smaller than a page because record sizes vary: records that do not fit
  // would cost another read.
  const Offset piece =
      std::max<Offset>(1, m_page_records * kPieceEighths / kEighths);
  m_piece_begin = std::max(m_gap_from, m_gap_to - piece);
  m_piece_next = m_piece_begin;
}

void ScanPlan::OnReadInGap(Offset next) {
  m_piece_next = std::max(m_piece_next, next);
  // The page did not cover the piece; read the rest first.
  if (m_piece_next < m_gap_to) return;
  m_gap_to = m_piece_begin;
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
