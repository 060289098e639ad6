#include "store_follower.h"

#include "burdockpulley/event_log.h"

namespace burdockpulley {

namespace {
constexpr Duration PollInterval{250'000};
} // namespace

StoreFollower::StoreFollower(event_base *Base, Store &Source, HostState &State,
                             std::function<void()> Changed,
                             std::function<void(Instant)> Contact)
    : m_store(Source), m_reader(Source), m_state(State),
      m_changed(std::move(Changed)), m_contact(std::move(Contact)),
      m_timer(Base, PollInterval, [this](Instant) { poll(); }) {}

void StoreFollower::poll() {
  if (m_reading)
    return;
  m_reading = true;
  StoreVersion Since(m_seen.value() + 1);
  // Whoever acts on what was read counts from before the send.
  Instant Began = bootClockNow();
  m_store.read({LivePrefix, true, Since},
               [this, Began](const StoreReply<StoreRange> &Reply) {
                 m_reading = false;
                 const auto *Range = std::get_if<StoreRange>(&Reply);
                 if (!Range || Range->m_version < m_state.m_tablesSeen)
                   return;
                 onRange(*Range);
                 m_contact(Began);
               });
}

void StoreFollower::onRange(const StoreRange &Range) {
  m_seen = Range.m_version;
  m_state.m_tablesSeen = std::max(m_state.m_tablesSeen, Range.m_version);
  for (const StoreEntry &Entry : Range.m_entries) {
    if (Entry.m_key == ConfigRootKey)
      onRoot(Entry);
    else if (!m_state.m_ownership.apply(Entry))
      m_state.m_keepers.apply(Entry, bootClockNow());
  }
  if (!Range.m_entries.empty())
    m_changed();
}

void StoreFollower::onRoot(const StoreEntry &Entry) {
  ConfigRoot Root;
  if (!decodeRoot(Entry.m_value, Root)) {
    logEvent(Severity::Error, "config-root-unreadable", {});
    return;
  }
  if (Root.m_revision <= m_state.m_set->m_root.m_revision)
    return;
  m_reader.readSet(
      Root, Entry.m_modified, [this](const SetReader::Result &Result) {
        if (const auto *Error = std::get_if<StoreError>(&Result)) {
          logEvent(Severity::Warning, "config-not-read",
                   {{"error", toString(*Error)}});
          // The next read starts over, so that the root is seen again.
          m_seen = StoreVersion();
          return;
        }
        const auto &Set = std::get<0>(Result);
        if (Set->m_root.m_revision <= m_state.m_set->m_root.m_revision)
          return;
        m_state.m_set = Set;
        logEvent(Severity::Info, "config-in-force",
                 {{"revision", Set->m_root.m_revision.value()},
                  {"publication", Set->m_root.m_publication}});
        m_changed();
      });
}

} // namespace burdockpulley
