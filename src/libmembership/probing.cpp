#include "burdockpulley/hashing.h"
#include "burdockpulley/membership.h"
#include "timing.h"

#include <algorithm>

namespace burdockpulley {

using namespace detail;

namespace {

/// Sorts hosts by their rendezvous score for an item, best first.
void rank(std::vector<HostId> &Hosts, const HostId &Item) {
  auto Score = [&](const HostId &Host) {
    return rendezvousScore(Item.value(), Host.value());
  };
  std::sort(Hosts.begin(), Hosts.end(), [&](const HostId &A, const HostId &B) {
    return std::pair(Score(B), A) < std::pair(Score(A), B);
  });
}

} // namespace

void Membership::rebuildRing() {
  m_ring.clear();
  m_contacts.clear();
  m_observersOf.clear();
  m_partners.clear();
  std::map<DomainId, std::vector<HostId>> Domains;
  std::vector<HostId> All;
  for (const auto &[Host, Known] : m_table.rows()) {
    Domains[Known.m_domain].push_back(Host);
    All.push_back(Host);
  }
  for (const auto &[Host, Known] : m_table.rows()) {
    const DomainId &Domain = Known.m_domain;
    std::vector<HostId> Observers = Domains[Domain];
    std::erase(Observers, Host);
    rank(Observers, Host);
    if (Observers.size() < MinObservers) {
      std::vector<HostId> Others = All;
      std::erase_if(Others, [&, &Own = Domain](const HostId &Each) {
        return m_table.find(Each)->m_domain == Own;
      });
      rank(Others, Host);
      for (std::size_t I = 0;
           I < Others.size() && Observers.size() < MinObservers; ++I)
        Observers.push_back(Others[I]);
    }
    if (std::count(Observers.begin(), Observers.end(), m_self.m_host))
      m_ring.push_back(Host);
    m_observersOf[Host] = std::move(Observers);
  }
  m_contacts = m_ring;
  for (auto &[Domain, Hosts] : Domains) {
    if (Domain == m_self.m_domain)
      continue;
    rank(Hosts, m_self.m_host);
    m_partners[Domain] = std::move(Hosts);
    for (const HostId &Host : partners(Domain))
      if (!std::count(m_contacts.begin(), m_contacts.end(), Host))
        m_contacts.push_back(Host);
  }
  std::shuffle(m_ring.begin(), m_ring.end(), m_random);
}

Duration Membership::directTimeout(const Row &Target) const {
  return Target.m_domain == m_self.m_domain ? DirectTimeout
                                            : DirectTimeoutOtherDomain;
}

HostId Membership::randomOf(const std::vector<HostId> &From) {
  return From.empty() ? HostId() : From[m_random() % From.size()];
}

void Membership::probe(const HostId &Target, bool Ring, Instant Now) {
  for (const auto &[Sequence, Each] : m_probes)
    if (Each.m_target == Target)
      return;
  std::uint64_t Sequence = ++m_lastSequence;
  m_probes[Sequence] = {Target, Now, false, Ring};
  MemberMessage Message = make(MemberMessage::Kind::Probe, Sequence);
  // A host that is wrongly doubted learns it here and refutes.
  const Row *Known = m_table.find(Target);
  if (Known && Known->m_state != MemberState::Alive)
    Message.m_updates.push_back(
        {Target, Known->m_state, Known->m_incarnation, m_self.m_host});
  send(Target, std::move(Message));
}

void Membership::probeRing(Instant Now) {
  m_nextProbe = Now + (m_ring.size() <= SmallRing ? SmallRingProbeInterval
                                                  : ProbeInterval);
  for (std::size_t Tried = 0; Tried < m_ring.size(); ++Tried) {
    std::size_t At = m_ringNext++;
    const HostId &Target = m_ring[At % m_ring.size()];
    bool Lost = state(Target) == MemberState::Lost;
    bool LostsTurn = At / m_ring.size() % LostProbeRounds == 0;
    if (!Lost || LostsTurn)
      return probe(Target, true, Now);
  }
}

void Membership::probeOtherDomain(Instant Now) {
  m_nextDomainProbe = Now + DomainProbeInterval;
  if (m_partners.empty())
    return;
  auto Next = m_partners.begin();
  std::advance(Next, m_domainNext++ % m_partners.size());
  probe(randomOf(partners(Next->first)), false, Now);
}

std::vector<HostId> Membership::partners(const DomainId &Domain) const {
  const std::vector<HostId> &Hosts = m_partners.at(Domain);
  std::vector<HostId> Chosen;
  for (const HostId &Host : Hosts)
    if (Chosen.size() < PartnersPerDomain && state(Host) != MemberState::Lost)
      Chosen.push_back(Host);
  return Chosen.empty() ? Hosts : Chosen;
}

void Membership::askHelpers(std::uint64_t Sequence, const HostId &Target) {
  std::vector<HostId> Helpers;
  auto Consider = [&](const HostId &Host) {
    if (Host != Target && Host != m_self.m_host &&
        state(Host) == MemberState::Alive &&
        !std::count(Helpers.begin(), Helpers.end(), Host))
      Helpers.push_back(Host);
  };
  for (const HostId &Host : m_observersOf[Target])
    Consider(Host);
  for (const HostId &Host : m_ring)
    Consider(Host);
  std::shuffle(Helpers.begin(), Helpers.end(), m_random);
  Helpers.resize(std::min(Helpers.size(), m_options.m_helpers));
  for (const HostId &Helper : Helpers) {
    MemberMessage Message = make(MemberMessage::Kind::Request, Sequence);
    Message.m_target = Target;
    send(Helper, std::move(Message));
  }
}

void Membership::checkProbes(Instant Now) {
  std::vector<Outstanding> Failed;
  for (auto Next = m_probes.begin(); Next != m_probes.end();) {
    auto Each = Next++;
    Outstanding &Probe = Each->second;
    const Row *Target = m_table.find(Probe.m_target);
    if (!Target) {
      m_probes.erase(Each);
      continue;
    }
    Duration Timeout = directTimeout(*Target);
    if (Now >= Probe.m_sent + ProbeTimeoutFactor * Timeout) {
      Failed.push_back(Probe);
      m_probes.erase(Each);
    } else if (!Probe.m_helped && Now >= Probe.m_sent + Timeout &&
               Target->m_state != MemberState::Lost) {
      Probe.m_helped = true;
      askHelpers(Each->first, Probe.m_target);
    }
  }
  std::erase_if(m_relays, [&](const auto &Each) {
    return Now >= Each.second.m_sent + DomainSilence;
  });
  for (const Outstanding &Probe : Failed)
    onFailed(Probe, Now);
}

void Membership::onFailed(const Outstanding &Probe, Instant Now) {
  Row &Target = *m_table.find(Probe.m_target);
  if (suspectsItself(Now) || Target.m_heard > Probe.m_sent)
    return;
  if (Target.m_domain != m_self.m_domain)
    doubtDomain(Target.m_domain, Probe.m_target, Now);
  if (!Probe.m_ring || Target.m_state == MemberState::Lost)
    return;
  merge({Probe.m_target, MemberState::Suspect, Target.m_incarnation,
         m_self.m_host},
        Now);
}

void Membership::doubtDomain(const DomainId &Domain, const HostId &Silent,
                             Instant Now) {
  DomainContact &Contact = m_domains[Domain];
  Contact.m_silent.insert(Silent);
  bool AllSilent = true;
  for (const HostId &Host : partners(Domain)) {
    if (Contact.m_silent.count(Host))
      continue;
    AllSilent = false;
    probe(Host, false, Now);
  }
  if (AllSilent && Now - Contact.m_heard > DomainSilence &&
      m_unreachable.insert(Domain).second)
    ++m_changes;
}

} // namespace burdockpulley
