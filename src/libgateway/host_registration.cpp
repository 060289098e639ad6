#include "host_registration.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "peer_transport.h"
#include "store_keys.h"

namespace burdockpulley {

namespace {

constexpr Duration LeaseTimeToLive{12'000'000};
constexpr Duration LeaseRenewalInterval{4'000'000};
constexpr Duration RetryDelay{1'000'000};

} // namespace

void HostRegistration::tick(bool StoreReachable, Instant Now) {
  if (!StoreReachable || m_callInFlight || m_state.m_stop || Now < m_nextCall)
    return;
  m_callInFlight = true;
  m_nextCall = Now + LeaseRenewalInterval;
  if (!m_peerKeyExists)
    createPeerKey();
  else if (!m_peerKeyRead)
    readPeerKey();
  else if (m_lease.value() == 0)
    acquireLease();
  else if (!m_registered)
    writeRecord();
  else
    renewLease();
}

void HostRegistration::scheduleRetry(const char *Call, StoreError Error) {
  logEvent(Severity::Warning, "host_registration_failed",
           {{"call", Call}, {"reason", toString(Error)}});
  m_nextCall = bootClockNow() + RetryDelay;
}

void HostRegistration::createPeerKey() {
  StoreTransaction Creation;
  Creation.m_conditions.push_back({store_keys::PeerKey, StoreVersion(0)});
  Creation.m_writes.push_back(
      {store_keys::PeerKey,
       m_peerKey.empty() ? randomUuid() + randomUuid() : m_peerKey,
       false,
       {}});
  m_store.commit(Creation, [this](const StoreReply<StoreCommit> &Reply) {
    m_callInFlight = false;
    if (const auto *Error = std::get_if<StoreError>(&Reply))
      return scheduleRetry("create-peer-key", *Error);
    // When not applied, another host has already created the key.
    m_peerKeyExists = true;
    m_nextCall = Instant();
  });
}

void HostRegistration::readPeerKey() {
  StoreQuery Query;
  Query.m_key = store_keys::PeerKey;
  m_store.read(Query, [this](const StoreReply<StoreRange> &Reply) {
    m_callInFlight = false;
    const auto *Range = std::get_if<StoreRange>(&Reply);
    if (!Range)
      return scheduleRetry("read-peer-key", std::get<StoreError>(Reply));
    if (Range->m_entries.empty()) {
      logEvent(Severity::Warning, "peer_key_not_read", {{"reason", "missing"}});
      m_peerKeyExists = false;
      m_nextCall = bootClockNow() + RetryDelay;
      return;
    }
    m_peerKeyRead = true;
    m_peerKey = Range->m_entries.front().m_value;
    m_nextCall = Instant();
    m_onPeerKey(Range->m_entries.front().m_value);
  });
}

void HostRegistration::acquireLease() {
  m_store.grantLease(LeaseTimeToLive,
                     [this](const StoreReply<StoreLease> &Reply) {
                       m_callInFlight = false;
                       if (const auto *Error = std::get_if<StoreError>(&Reply))
                         return scheduleRetry("grant-lease", *Error);
                       m_lease = std::get<StoreLease>(Reply);
                       m_nextCall = Instant();
                     });
}

void HostRegistration::writeRecord() {
  StoreTransaction Registration;
  Registration.m_writes.push_back(
      {store_keys::Hosts + m_state.m_settings.m_host.value(),
       encodeHostRecord(m_state.hostRecord()), false, m_lease});
  m_store.commit(Registration, [this](const StoreReply<StoreCommit> &Reply) {
    m_callInFlight = false;
    if (const auto *Error = std::get_if<StoreError>(&Reply)) {
      if (*Error == StoreError::LeaseExpired)
        m_lease = StoreLease();
      return scheduleRetry("write-record", *Error);
    }
    m_registered = true;
    logEvent(Severity::Info, "host_registered", {});
  });
}

void HostRegistration::renewLease() {
  m_store.keepAlive(m_lease, [this](const StoreReply<StoreLease> &Reply) {
    m_callInFlight = false;
    const auto *Error = std::get_if<StoreError>(&Reply);
    if (!Error)
      return;
    if (*Error == StoreError::LeaseExpired) {
      logEvent(Severity::Warning, "host_record_lapsed", {});
      m_lease = StoreLease();
      m_registered = false;
      m_nextCall = Instant();
      return;
    }
    scheduleRetry("renew-lease", *Error);
  });
}

void HostRegistration::end() {
  if (m_lease.value() != 0)
    m_store.endLease(m_lease, [](const StoreReply<StoreLease> &) {});
}

} // namespace burdockpulley
