#ifndef BURDOCKPULLEY_RESPONSE_MEMORY_H
#define BURDOCKPULLEY_RESPONSE_MEMORY_H

#include "burdockpulley/memory_budget.h"

#include <cstddef>
#include <map>

namespace burdockpulley {

/// Limits the memory that all responses take together while they are being
/// received. When they exceed it, the largest one is given up, so that a server
/// that sends without end does not cost the responses of others.
/// Thread safety: none; use it on the event loop's thread only.
class ResponseMemory {
public:
  /// A response that is being received.
  class Response {
  public:
    virtual ~Response() = default;
    /// The response has to be given up. Called once; the caller of update() may
    /// be another response.
    virtual void onMemoryLimit() = 0;
  };

  /// \p MaxBytes: limit for all responses together. They are charged to
  /// \p Budget, which may be null. Precondition: the budget outlives the
  /// object.
  explicit ResponseMemory(std::size_t MaxBytes, MemoryBudget *Budget = nullptr)
      : m_maxBytes(MaxBytes), m_charge(Budget, MemoryKind::Responses) {}

  /// A response takes \p Bytes now; 0 when it has ended.
  void update(Response &Changed, std::size_t Bytes);

  std::size_t totalBytes() const { return m_charge.bytes(); }

private:
  std::size_t m_maxBytes;
  MemoryCharge m_charge; ///< Of all responses.
  std::map<Response *, std::size_t> m_bytes;
};

} // namespace burdockpulley

#endif
