#ifndef BURDOCKPULLEY_LIBMEMBERSHIP_TIMING_H
#define BURDOCKPULLEY_LIBMEMBERSHIP_TIMING_H

#include "burdockpulley/types.h"

namespace burdockpulley {
namespace detail {

constexpr Duration ProbeInterval{200'000};
/// Used while a host observes at most SmallRing others.
constexpr Duration SmallRingProbeInterval{100'000};
constexpr std::size_t SmallRing = 5;
constexpr Duration DomainProbeInterval{500'000};
constexpr Duration DirectTimeout{100'000};
constexpr Duration DirectTimeoutOtherDomain{250'000};
/// A probe has failed after this many times the direct timeout.
constexpr int ProbeTimeoutFactor = 2;
constexpr Duration MinSuspicion{50'000};
constexpr Duration SoleObserverSuspicion{700'000};
constexpr Duration PauseLimit{350'000};
constexpr Duration DoubtAfterPause{1'000'000};
constexpr Duration DoubtAfterStart{1'500'000};
constexpr Duration QuietLimit{500'000};
constexpr Duration IsolationHold{2'000'000};
constexpr Duration RecentlyHeard{150'000};
constexpr Duration DomainSilence{1'000'000};
constexpr Duration SyncInterval{1'000'000};
constexpr std::size_t MinObservers = 3;
constexpr std::size_t PartnersPerDomain = 3;
constexpr std::size_t Confirmers = 4;
constexpr std::size_t PushFanout = 4;
constexpr std::size_t UpdatesPerMessage = 8;
constexpr std::size_t RowsPerSync = 32;
/// Lost hosts are probed only in every so many rounds.
constexpr unsigned LostProbeRounds = 4;

} // namespace detail
} // namespace burdockpulley

#endif
