#ifndef BURDOCKPULLEY_LIBMEMBERSHIP_VIRTUAL_FLEET_H
#define BURDOCKPULLEY_LIBMEMBERSHIP_VIRTUAL_FLEET_H

#include "burdockpulley/membership.h"

#include <functional>
#include <memory>

namespace burdockpulley {

/// How messages fare between the members of a VirtualFleet.
struct VirtualLinks {
  double m_loss = 0;
  double m_doubled = 0;
  Duration m_minLatency{300};
  Duration m_maxLatency{2'000};
  /// True when a message between two members does not arrive.
  std::function<bool(std::size_t From, std::size_t To)> m_cut;
};

/// Members in one process that exchange messages in virtual time.
///
/// Messages are lost, doubled and reordered as the links say. Everything
/// follows from the seed.
///
/// Thread safety: none.
class VirtualFleet {
public:
  VirtualFleet(std::size_t Hosts, std::size_t Domains, std::uint64_t Seed,
               MembershipOptions Options = {});

  /// Runs for a span of virtual time; \p Watch is called every 10 ms.
  void run(Duration Span, const std::function<void()> &Watch = {});

  /// A stopped member neither ticks nor reads; its messages wait.
  void stop(std::size_t Index) { m_members[Index].m_stopped = true; }
  void resume(std::size_t Index) { m_members[Index].m_stopped = false; }

  /// Ends a member for good.
  void kill(std::size_t Index) { m_members[Index].m_killed = true; }

  bool running(std::size_t Index) const {
    return !m_members[Index].m_killed && !m_members[Index].m_stopped;
  }
  std::size_t size() const { return m_members.size(); }
  const Membership &member(std::size_t Index) const {
    return *m_members[Index].m_membership;
  }
  const HostId &name(std::size_t Index) const { return m_names[Index].m_host; }
  std::size_t domainOf(std::size_t Index) const { return Index % m_domains; }

  /// True when one member counts another as lost.
  bool lost(std::size_t Observer, std::size_t Target) const;

  Instant now() const { return m_now; }
  VirtualLinks m_links;
  /// Called for each message that is sent; for counting bytes.
  std::function<void(const MemberMessage &)> m_onSend;

private:
  struct Slot {
    std::unique_ptr<Membership> m_membership;
    Instant m_nextTick;
    bool m_stopped = false;
    bool m_killed = false;
    std::vector<std::pair<std::size_t, MemberMessage>> m_backlog;
  };
  struct Delivery {
    std::size_t m_from;
    std::size_t m_to;
    MemberMessage m_message;
  };

  void step();
  void deliver(const Delivery &Each);
  void collect(std::size_t Index);
  void transmit(std::size_t From, MemberSend &&Sent);
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_random); }

  std::size_t m_domains;
  std::mt19937_64 m_random;
  std::vector<Member> m_names;
  std::map<HostId, std::size_t> m_index;
  std::vector<Slot> m_members;
  std::multimap<Instant, Delivery> m_onTheWay;
  Instant m_now{Duration(1'000'000)};
};

} // namespace burdockpulley

#endif
