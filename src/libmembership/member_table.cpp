#include "burdockpulley/hashing.h"
#include "burdockpulley/membership.h"

namespace burdockpulley {
namespace detail {

void MemberTable::assign(std::span<const Member> Members) {
  std::map<HostId, Row> Old = std::move(m_rows);
  m_rows.clear();
  m_digests.clear();
  m_digest = 0;
  for (const Member &Each : Members) {
    Row &New = m_rows[Each.m_host];
    auto Known = Old.find(Each.m_host);
    if (Known != Old.end())
      New = std::move(Known->second);
    New.m_domain = Each.m_domain;
    toggle(Each.m_host, New);
  }
}

MemberTable::Row *MemberTable::find(const HostId &Host) {
  auto Found = m_rows.find(Host);
  return Found == m_rows.end() ? nullptr : &Found->second;
}

const MemberTable::Row *MemberTable::find(const HostId &Host) const {
  auto Found = m_rows.find(Host);
  return Found == m_rows.end() ? nullptr : &Found->second;
}

void MemberTable::set(const HostId &Host, Row &Which, MemberState State,
                      Incarnation Inc, bool Local) {
  toggle(Host, Which);
  Which.m_state = State;
  Which.m_incarnation = Inc;
  Which.m_local = Local;
  toggle(Host, Which);
}

void MemberTable::toggle(const HostId &Host, const Row &Which) {
  // Suspicion is passing and a local verdict is nobody else's business.
  bool Lost = Which.m_state == MemberState::Lost && !Which.m_local;
  std::uint64_t Seed = Which.m_incarnation.value() * 2 + (Lost ? 1 : 0);
  std::uint64_t Hash = Seed == 0 ? 0 : stableHash(Host.value(), Seed);
  m_digests[Which.m_domain] ^= Hash;
  m_digest ^= Hash;
}

} // namespace detail
} // namespace burdockpulley
