#include "host_registration.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "peer_transport.h"
#include "store_keys.h"

namespace burdockpulley {

namespace {

constexpr Duration RecordLease{12'000'000};
constexpr Duration KeepEvery{4'000'000};
constexpr Duration RetryPause{1'000'000};

} // namespace

void HostRegistration::tick(bool StoreInReach, Instant Now) {
  if (!StoreInReach || m_calling || m_state.m_stopping || Now < m_nextCall)
    return;
  m_calling = true;
  m_nextCall = Now + KeepEvery;
  if (!m_keyOffered)
    offerPeerKey();
  else if (m_lease.value() == 0)
    makeLease();
  else if (!m_registered)
    writeRecord();
  else
    keep();
}

void HostRegistration::onFailure() { m_nextCall = bootClockNow() + RetryPause; }

void HostRegistration::offerPeerKey() {
  StoreTransaction Offer;
  Offer.m_conditions.push_back({store_keys::PeerKey, StoreVersion(0)});
  Offer.m_writes.push_back(
      {store_keys::PeerKey, randomUuid() + randomUuid(), false, {}});
  m_source.commit(Offer, [this](const StoreReply<StoreCommit> &Reply) {
    m_calling = false;
    if (!std::holds_alternative<StoreCommit>(Reply))
      return onFailure();
    // Not applied: another host was first, which is as good.
    m_keyOffered = true;
    m_nextCall = Instant();
  });
}

void HostRegistration::makeLease() {
  m_source.grantLease(RecordLease, [this](const StoreReply<StoreLease> &Reply) {
    m_calling = false;
    if (!std::holds_alternative<StoreLease>(Reply))
      return onFailure();
    m_lease = std::get<StoreLease>(Reply);
    m_nextCall = Instant();
  });
}

void HostRegistration::writeRecord() {
  StoreTransaction Record;
  Record.m_writes.push_back(
      {store_keys::Hosts + m_state.m_settings.m_host.value(),
       encodeHostAddress({m_state.m_settings.m_peerListen,
                          m_state.m_settings.m_domain,
                          m_state.m_settings.highBandwidth()}),
       false, m_lease});
  m_source.commit(Record, [this](const StoreReply<StoreCommit> &Reply) {
    m_calling = false;
    if (const auto *Why = std::get_if<StoreError>(&Reply)) {
      if (*Why == StoreError::LeaseExpired)
        m_lease = StoreLease();
      return onFailure();
    }
    m_registered = true;
    logEvent(Severity::Info, "host_registered", {});
  });
}

void HostRegistration::keep() {
  m_source.keepAlive(m_lease, [this](const StoreReply<StoreLease> &Reply) {
    m_calling = false;
    const auto *Why = std::get_if<StoreError>(&Reply);
    if (!Why)
      return;
    if (*Why == StoreError::LeaseExpired) {
      logEvent(Severity::Warning, "host_record_lapsed", {});
      m_lease = StoreLease();
      m_registered = false;
      m_nextCall = Instant();
      return;
    }
    onFailure();
  });
}

void HostRegistration::end() {
  if (m_lease.value() != 0)
    m_source.endLease(m_lease, [](const StoreReply<StoreLease> &) {});
}

} // namespace burdockpulley
