#ifndef BURDOCKPULLEY_STANDINS_FAULT_LINK_H
#define BURDOCKPULLEY_STANDINS_FAULT_LINK_H

#include "burdockpulley/types.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct event_base;

namespace burdockpulley {

/// The faults that a proxy puts on all its links. Byte limits count the bytes
/// that one link has carried towards the caller.
struct Faults {
  Duration m_latency{};       ///< Of each direction.
  bool m_cutToTarget = false; ///< Bytes wait until the fault ends.
  bool m_cutToCaller = false;
  bool m_refuse = false; ///< Links are reset, new ones at once.
  std::optional<std::uint64_t> m_truncateAfter;
  std::optional<std::uint64_t> m_resetAfter;
  std::optional<std::uint64_t> m_halfCloseAfter;
  /// The caller gets the bytes that the target has sent last once more when it
  /// sends the next ones. Links whose messages are sent in one piece repeat a
  /// whole response.
  bool m_repeatAnswer = false;
  /// Bandwidth of a link towards the caller.
  std::optional<std::uint64_t> m_bytesPerSecond;
};

/// One connection of a caller and the one to the target that belongs to it.
/// Thread safety: none; it belongs to the loop's thread.
class FaultLink {
public:
  /// Takes over the accepted socket.
  /// Precondition: \p Base and \p Active outlive the link.
  FaultLink(event_base *Base, int Accepted, const Endpoint &Target,
            const Faults &Active);
  ~FaultLink();
  FaultLink(const FaultLink &) = delete;
  FaultLink &operator=(const FaultLink &) = delete;

  /// Moves the bytes that are due.
  void advance(Instant Now);

  /// True when the link has ended and can be deleted.
  bool ended() const { return m_ended; }

private:
  struct Chunk {
    Instant m_due;
    std::string m_bytes;
  };

  /// One direction.
  struct Flow {
    bufferevent *m_from = nullptr;
    bufferevent *m_to = nullptr;
    std::deque<Chunk> m_held;
    bool m_finished = false; ///< The sender has closed.
    bool m_closed = false;   ///< The receiver has been told.
  };

  static void onRead(bufferevent *Side, void *Self);
  static void onEvent(bufferevent *Side, short What, void *Self);
  /// Splits what a link of limited bandwidth carries to the caller into parts
  /// that arrive one after the other.
  void holdPaced(std::string_view Bytes, Instant Now);
  void move(Flow &Which, bool Cut, Instant Now);
  void deliver(Flow &Which, std::string Bytes);
  void deliverToCaller(std::string Bytes);
  void reset();

  const Faults &m_faults;
  Flow m_toTarget;
  Flow m_toCaller;
  std::uint64_t m_answered = 0;
  Instant m_bandwidthFreeAt; ///< When the last held part has arrived.
  std::string m_lastAnswer;  ///< Not repeated yet; see m_repeatAnswer.
  bool m_muted = false;      ///< Nothing more goes to the caller.
  bool m_ended = false;
};

} // namespace burdockpulley

#endif
