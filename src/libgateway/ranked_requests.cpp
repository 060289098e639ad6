#include "burdockpulley/ranked_requests.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Mixes the bits of a number, so that consecutive ones give a balanced tree.
std::uint64_t mixed(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

void add(QueuedWork &Sum, const QueuedWork &Added) {
  Sum.m_requests += Added.m_requests;
  Sum.m_work += Added.m_work;
}

QueuedWork workOf(const WaitingRequest &Request) {
  return {1, Request.m_workTime};
}

} // namespace

void RankedRequests::update(Node &Top) {
  Top.m_sum = workOf(Top.m_request);
  Top.m_earliestStart = Top.m_latestStart;
  Top.m_longestWork = Top.m_request.m_workTime;
  Top.m_maxPriority = Top.m_rank.m_priority;
  Top.m_anyLate = Top.m_rank.m_late;
  for (const Node *Child : {Top.m_left, Top.m_right}) {
    if (!Child)
      continue;
    add(Top.m_sum, Child->m_sum);
    Top.m_earliestStart = std::min(Top.m_earliestStart, Child->m_earliestStart);
    Top.m_longestWork = std::max(Top.m_longestWork, Child->m_longestWork);
    Top.m_maxPriority = std::max(Top.m_maxPriority, Child->m_maxPriority);
    Top.m_anyLate |= Child->m_anyLate;
  }
}

RankedRequests::Node *RankedRequests::merge(Node *Left, Node *Right) {
  if (!Left || !Right)
    return Left ? Left : Right;
  if (Left->m_heapKey > Right->m_heapKey) {
    Left->m_right = merge(Left->m_right, Right);
    update(*Left);
    return Left;
  }
  Right->m_left = merge(Left, Right->m_left);
  update(*Right);
  return Right;
}

void RankedRequests::split(Node *Top, const RequestRank &Rank, Node *&Less,
                           Node *&Others) {
  if (!Top) {
    Less = Others = nullptr;
    return;
  }
  if (Top->m_rank < Rank) {
    split(Top->m_right, Rank, Top->m_right, Others);
    Less = Top;
  } else {
    split(Top->m_left, Rank, Less, Top->m_left);
    Others = Top;
  }
  update(*Top);
}

RankedRequests::Node *RankedRequests::eraseFrom(Node *Top,
                                                const RequestRank &Rank) {
  if (Rank < Top->m_rank)
    Top->m_left = eraseFrom(Top->m_left, Rank);
  else if (Top->m_rank < Rank)
    Top->m_right = eraseFrom(Top->m_right, Rank);
  else
    return merge(Top->m_left, Top->m_right);
  update(*Top);
  return Top;
}

void RankedRequests::link(Node &Added) {
  Added.m_left = Added.m_right = nullptr;
  update(Added);
  Node *Less = nullptr;
  Node *Others = nullptr;
  split(m_root, Added.m_rank, Less, Others);
  m_root = merge(merge(Less, &Added), Others);
}

RankedRequests::Node &RankedRequests::insert(const WaitingRequest &Request,
                                             bool Late, Instant LatestStart) {
  Node &Added = m_nodes[Request.m_number];
  Added.m_request = Request;
  Added.m_rank = {Request.m_priority, Late, Request.m_goal, Request.m_number};
  Added.m_latestStart = LatestStart;
  Added.m_heapKey = mixed(Request.m_number.value());
  link(Added);
  return Added;
}

bool RankedRequests::erase(RequestNumber Number) {
  auto It = m_nodes.find(Number);
  if (It == m_nodes.end())
    return false;
  m_root = eraseFrom(m_root, It->second.m_rank);
  m_nodes.erase(It);
  return true;
}

void RankedRequests::markLate(RequestNumber Number) {
  Node &Moved = m_nodes.at(Number);
  m_root = eraseFrom(m_root, Moved.m_rank);
  Moved.m_rank.m_late = true;
  link(Moved);
}

const RankedRequests::Node *RankedRequests::find(RequestNumber Number) const {
  auto It = m_nodes.find(Number);
  return It == m_nodes.end() ? nullptr : &It->second;
}

const RankedRequests::Node *RankedRequests::first() const {
  const Node *Top = m_root;
  while (Top && Top->m_left)
    Top = Top->m_left;
  return Top;
}

const RankedRequests::Node *
RankedRequests::after(const RequestRank &Rank) const {
  const Node *Best = nullptr;
  for (const Node *Top = m_root; Top;)
    if (Rank < Top->m_rank) {
      Best = Top;
      Top = Top->m_left;
    } else {
      Top = Top->m_right;
    }
  return Best;
}

QueuedWork RankedRequests::before(const RequestRank &Rank) const {
  QueuedWork Sum;
  for (const Node *Top = m_root; Top;) {
    if (!(Top->m_rank < Rank)) {
      Top = Top->m_left;
      continue;
    }
    add(Sum, workOf(Top->m_request));
    if (Top->m_left)
      add(Sum, Top->m_left->m_sum);
    Top = Top->m_right;
  }
  return Sum;
}

void RankedRequests::scan(
    const std::function<bool(const Bounds &)> &AllInTime,
    const std::function<bool(const Node &, const QueuedWork &)> &TooLate)
    const {
  QueuedWork Ahead;
  auto Visit = [&](const Node *Top, const auto &Self) -> void {
    if (!Top)
      return;
    Bounds Of{Ahead, Top->m_maxPriority, Top->m_anyLate, Top->m_earliestStart,
              Top->m_longestWork};
    add(Of.m_aheadOfLast, Top->m_sum);
    if (AllInTime(Of)) {
      add(Ahead, Top->m_sum);
      return;
    }
    Self(Top->m_left, Self);
    if (!TooLate(*Top, Ahead))
      add(Ahead, workOf(Top->m_request));
    Self(Top->m_right, Self);
  };
  Visit(m_root, Visit);
}

} // namespace burdockpulley
