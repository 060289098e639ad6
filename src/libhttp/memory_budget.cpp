#include "burdockpulley/memory_budget.h"

#include <malloc.h>

#include <algorithm>

namespace burdockpulley {

namespace {

/// Levels in sixteenths of the limit. The rest above Scarce is for requests
/// that were received entirely, their copies and their responses.
constexpr std::size_t Sixteenths = 16;
constexpr std::size_t TightSixteenths = 11;
constexpr std::size_t ScarceSixteenths = 13;
/// Reading goes on below this, so that it does not stop and start at each body.
constexpr std::size_t ResumeSixteenths = 8;
/// Bodies that could go on, given up at once.
constexpr std::size_t GiveUpSixteenths = 2;
/// Bodies up to this size are read until memory is scarce: ordinary requests
/// are small, and finish at once.
constexpr std::size_t SmallBodyBytes = 64 << 10;
/// Time for which large bodies are not read before some are given up.
/// Completed requests may release enough meanwhile.
constexpr Duration GiveUpDelay{500'000};
/// An address that holds less than this does not reduce the share of others.
constexpr std::size_t MinHeldBytes = 64 << 10;
/// Freed bytes from which trimming is worth its time, which is about a
/// millisecond, and the least time between two.
constexpr std::size_t MinTrimBytes = 4 << 20;
constexpr Duration TrimInterval{1'000'000};
/// The same when the last trimming is longer ago. What was released in between
/// is small, but its pages stay resident.
constexpr std::size_t MinLateTrimBytes = 64 << 10;
constexpr Duration LateTrimInterval{4'000'000};

} // namespace

const char *toString(MemoryKind Kind) {
  switch (Kind) {
  case MemoryKind::Connections:
    return "connections";
  case MemoryKind::Bodies:
    return "bodies";
  case MemoryKind::Requests:
    return "requests";
  case MemoryKind::SendCopies:
    return "send-copies";
  case MemoryKind::Responses:
    return "responses";
  case MemoryKind::UnreadResponses:
    return "unread-responses";
  }
  return "unknown";
}

MemoryBudget::Account::Account(MemoryBudget &Budget, std::string Address)
    : m_budget(Budget), m_address(std::move(Address)) {}

MemoryBudget::Account::~Account() { m_budget.m_accounts.erase(m_address); }

std::shared_ptr<MemoryBudget::Account>
MemoryBudget::account(const std::string &Address) {
  std::weak_ptr<Account> &Known = m_accounts[Address];
  auto Current = Known.lock();
  if (!Current) {
    Current = std::make_shared<Account>(*this, Address);
    Known = Current;
  }
  return Current;
}

void MemoryBudget::change(MemoryKind Kind, Account *Owner, std::size_t Before,
                          std::size_t After) {
  m_total += After - Before;
  m_used[static_cast<std::size_t>(Kind)] += After - Before;
  m_peakSinceTrim = std::max(m_peakSinceTrim, m_total);
  if (!Owner)
    return;
  bool Held = Owner->m_bytes >= MinHeldBytes;
  Owner->m_bytes += After - Before;
  bool Holds = Owner->m_bytes >= MinHeldBytes;
  if (Held != Holds)
    m_holders += Holds ? 1 : -1;
}

MemoryBudget::Level MemoryBudget::level() const {
  if (m_total < m_maxBytes / Sixteenths * TightSixteenths)
    return Level::Ample;
  if (m_total < m_maxBytes / Sixteenths * ScarceSixteenths)
    return Level::Tight;
  return m_total < m_maxBytes ? Level::Scarce : Level::Exhausted;
}

bool MemoryBudget::overShare(const Account *Owner) const {
  // Twice the equal share of the addresses that hold memory and one more, so
  // that a single address may use the whole budget.
  std::size_t Share = 2 * (m_maxBytes / (m_holders + 1));
  if (level() == Level::Ample)
    Share = std::max(Share, m_largestRequest);
  return Owner && m_holders > 1 && Owner->m_bytes > Share;
}

bool MemoryBudget::mayRead(std::size_t Received, const Account *Owner) {
  bool WithinShare = !overShare(Owner);
  if (Received < SmallBodyBytes && WithinShare)
    return level() < Level::Scarce;
  std::size_t Stop = m_readingStopped ? ResumeSixteenths : TightSixteenths;
  m_readingStopped = m_total >= m_maxBytes / Sixteenths * Stop;
  return !m_readingStopped && WithinShare;
}

bool MemoryBudget::mayResume(std::size_t Received, std::size_t Missing,
                             const Account *Owner) {
  std::size_t Tight = m_maxBytes / Sixteenths * TightSixteenths;
  if (!mayRead(Received, Owner) || m_total + m_resumedBytes + Missing > Tight)
    return false;
  m_resumedBytes += Missing;
  return true;
}

bool MemoryBudget::mayBeginBody(const Account *Owner) const {
  return level() < Level::Scarce && !overShare(Owner);
}

std::size_t MemoryBudget::bodiesToGiveUp(bool Stalled, Instant Now) {
  m_resumedBytes = 0;
  std::size_t Resume = m_maxBytes / Sixteenths * ResumeSixteenths;
  if (m_total < Resume) {
    m_readingStopped = false;
    m_tightSince = Instant();
    return 0;
  }
  m_readingStopped |= level() != Level::Ample;
  if (!m_readingStopped)
    return 0;
  if (m_tightSince == Instant())
    m_tightSince = Now;
  if (level() < Level::Scarce && Now - m_tightSince < GiveUpDelay)
    return 0;
  std::size_t Excess = m_total - Resume + 1;
  // Callers that still send get time to finish as others are given up.
  return Stalled ? Excess
                 : std::min(Excess, m_maxBytes / Sixteenths * GiveUpSixteenths);
}

std::size_t MemoryBudget::unreadToGiveUp() const {
  std::size_t Scarce = m_maxBytes / Sixteenths * ScarceSixteenths;
  return m_total < Scarce ? 0 : m_total - Scarce + 1;
}

bool MemoryBudget::trimDue(Instant Now) {
  Duration Elapsed = Now - m_trimmed;
  std::size_t MinBytes =
      Elapsed < LateTrimInterval ? MinTrimBytes : MinLateTrimBytes;
  std::size_t Released = m_peakSinceTrim - m_total + m_unchargedReleases;
  if (Elapsed < TrimInterval || Released < MinBytes)
    return false;
  m_peakSinceTrim = m_total;
  m_unchargedReleases = 0;
  m_trimmed = Now;
  return true;
}

const MemoryBudget::Account *MemoryBudget::largest() const {
  const Account *Largest = nullptr;
  for (const auto &[Address, Known] : m_accounts) {
    auto Current = Known.lock();
    if (Current && (!Largest || Current->bytes() > Largest->bytes()))
      Largest = Current.get();
  }
  return Largest;
}

std::size_t residentBytes(const std::string &Text) {
  constexpr std::size_t PageBytes = 4096;
  return Text.capacity() < MappedAllocationBytes ? Text.capacity()
                                                 : Text.size() + PageBytes;
}

void returnFreedMemory() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

void configureAllocator() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, MappedAllocationBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * MappedAllocationBytes);
#endif
}

} // namespace burdockpulley
