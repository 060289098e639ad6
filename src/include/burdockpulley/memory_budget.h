#ifndef BURDOCKPULLEY_MEMORY_BUDGET_H
#define BURDOCKPULLEY_MEMORY_BUDGET_H

#include "burdockpulley/types.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace burdockpulley {

/// What charged memory holds.
enum class MemoryKind {
  Connections,     ///< Open connections, header sections, unparsed input.
  Bodies,          ///< Bodies of requests while they are being received.
  Requests,        ///< Whole requests that have no response yet.
  SendCopies,      ///< Encoded requests that the kernel has not taken yet.
  Responses,       ///< Responses of servers while they are being received.
  UnreadResponses, ///< Responses that the kernel has not taken yet.
};

constexpr std::size_t MemoryKindCount = 6;

/// Returns the name of a kind for metrics. Thread safety: safe.
const char *toString(MemoryKind Kind);

/// The memory that one process spends on callers and upstreams.
///
/// It handles callers that send many large bodies at once and leave them
/// unfinished, and callers that do not read their responses. As the budget
/// fills up, the limits get stricter: at the level Tight, large bodies are no
/// longer read, and the ones that progress least are given up; at Scarce, new
/// requests whose body is not received yet are refused, and responses that are
/// read slowest are given up; at Exhausted, all new requests are refused.
/// Thread safety: none; use it on the event loop's thread only.
class MemoryBudget {
public:
  enum class Level { Ample, Tight, Scarce, Exhausted };

  /// The memory of one caller's address. Charges and connections share it.
  class Account {
  public:
    Account(MemoryBudget &Budget, std::string Address);
    ~Account();
    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;

    const std::string &address() const { return m_address; }
    std::size_t bytes() const { return m_bytes; }

  private:
    friend class MemoryBudget;
    MemoryBudget &m_budget;
    std::string m_address;
    std::size_t m_bytes = 0;
  };

  /// \p MaxBytes: limit for all charges together.
  explicit MemoryBudget(std::size_t MaxBytes) : m_maxBytes(MaxBytes) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Returns the account of an address. Precondition: the budget outlives it.
  std::shared_ptr<Account> account(const std::string &Address);

  /// Replaces a charge of \p Before bytes by one of \p After bytes. \p Owner
  /// may be null.
  void change(MemoryKind Kind, Account *Owner, std::size_t Before,
              std::size_t After);

  Level level() const;
  /// Returns true if more of a body may be read, of which \p Received bytes are
  /// kept.
  bool mayRead(std::size_t Received, const Account *Owner);
  /// Returns true if a body may be read again of which \p Missing bytes are
  /// still to come. Only as many bodies go on as there is room to finish.
  bool mayResume(std::size_t Received, std::size_t Missing,
                 const Account *Owner);
  /// Returns true if a request may be begun whose body is not received yet.
  bool mayBeginBody(const Account *Owner) const;
  /// Returns true if a request may be served that has been received entirely.
  bool mayServe() const { return level() != Level::Exhausted; }
  /// Returns true if the address holds more than its share while other
  /// addresses hold memory as well. While memory is ample, the share has room
  /// for one request of the largest size.
  bool overShare(const Account *Owner) const;
  /// Sets the size of the largest request.
  void setLargestRequest(std::size_t Bytes) { m_largestRequest = Bytes; }

  /// Returns how many bytes of unfinished bodies have to be given up now. Zero
  /// unless large bodies have not been read for a while. \p Stalled: of the
  /// bodies whose callers send nothing; else of those that could go on.
  std::size_t bodiesToGiveUp(bool Stalled, Instant Now);
  /// Returns how many bytes of unread responses have to be given up now.
  std::size_t unreadToGiveUp() const;

  /// Notes that memory has been released that was not charged, for trimDue().
  void noteUnchargedRelease(std::size_t Bytes) { m_unchargedReleases += Bytes; }
  /// Returns true if enough memory has been released since the last time that
  /// the allocator should return it to the system.
  bool trimDue(Instant Now);

  std::size_t maxBytes() const { return m_maxBytes; }
  std::size_t total() const { return m_total; }
  std::size_t used(MemoryKind Kind) const {
    return m_used[static_cast<std::size_t>(Kind)];
  }
  /// Returns the account with the most bytes, or null if there is none.
  const Account *largest() const;

private:
  std::size_t m_maxBytes;
  std::size_t m_largestRequest = 0;
  std::size_t m_total = 0;
  std::array<std::size_t, MemoryKindCount> m_used{};
  std::unordered_map<std::string, std::weak_ptr<Account>> m_accounts;
  std::size_t m_holders = 0;     ///< Accounts with at least MinHeldBytes.
  bool m_readingStopped = false; ///< Of large bodies, until enough is released.
  /// Missing bytes of the bodies that were resumed since the last
  /// bodiesToGiveUp().
  std::size_t m_resumedBytes = 0;
  Instant m_tightSince; ///< When that was first seen; zero while they are read.
  std::size_t m_peakSinceTrim = 0;
  std::size_t m_unchargedReleases = 0; ///< Since the last trimming.
  Instant m_trimmed;
};

/// Bytes charged to a budget; released at the end of the object's life.
/// Thread safety: none; use it on the event loop's thread only.
class MemoryCharge {
public:
  /// Charges nothing, whatever its size.
  MemoryCharge() = default;
  /// \p Budget may be null; then nothing is charged. \p Owner may be null.
  /// Precondition: the budget outlives the charge.
  MemoryCharge(MemoryBudget *Budget, MemoryKind Kind,
               std::shared_ptr<MemoryBudget::Account> Owner = nullptr)
      : m_budget(Budget), m_kind(Kind), m_owner(std::move(Owner)) {}
  ~MemoryCharge() { resize(0); }
  MemoryCharge(MemoryCharge &&Other) noexcept
      : m_budget(std::exchange(Other.m_budget, nullptr)), m_kind(Other.m_kind),
        m_owner(std::move(Other.m_owner)),
        m_bytes(std::exchange(Other.m_bytes, 0)) {}
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept {
    if (this == &Other)
      return *this;
    resize(0);
    m_budget = std::exchange(Other.m_budget, nullptr);
    m_kind = Other.m_kind;
    m_owner = std::move(Other.m_owner);
    m_bytes = std::exchange(Other.m_bytes, 0);
    return *this;
  }

  void resize(std::size_t Bytes) {
    if (m_budget && Bytes != m_bytes)
      m_budget->change(m_kind, m_owner.get(), m_bytes, Bytes);
    m_bytes = Bytes;
  }
  std::size_t bytes() const { return m_bytes; }

private:
  MemoryBudget *m_budget = nullptr;
  MemoryKind m_kind = MemoryKind::Connections;
  std::shared_ptr<MemoryBudget::Account> m_owner;
  std::size_t m_bytes = 0;
};

/// Allocations of at least this size are mapped and returned to the system on
/// their own; see configureAllocator().
constexpr std::size_t MappedAllocationBytes = 128 << 10;

/// Returns the resident bytes of a string's allocation. Of a mapped one, pages
/// that have not been written are not resident.
/// Thread safety: safe.
std::size_t residentBytes(const std::string &Text);

/// Returns freed memory of the heap to the system. Takes about a millisecond.
/// Thread safety: safe.
void returnFreedMemory();

/// Makes the allocator return freed memory to the system; call it once, before
/// other threads start. By default the size from which allocations are mapped
/// grows to 32 MiB, and freed bodies then stay resident.
void configureAllocator();

} // namespace burdockpulley

#endif
