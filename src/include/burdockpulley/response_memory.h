#ifndef BURDOCKPULLEY_RESPONSE_MEMORY_H
#define BURDOCKPULLEY_RESPONSE_MEMORY_H

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

  /// \p MaxBytes: limit for all responses together.
  explicit ResponseMemory(std::size_t MaxBytes) : m_maxBytes(MaxBytes) {}

  /// A response takes \p Bytes now; 0 when it has ended.
  void update(Response &Changed, std::size_t Bytes);

  std::size_t totalBytes() const { return m_totalBytes; }

private:
  std::size_t m_maxBytes;
  std::size_t m_totalBytes = 0;
  std::map<Response *, std::size_t> m_bytes;
};

} // namespace burdockpulley

#endif
