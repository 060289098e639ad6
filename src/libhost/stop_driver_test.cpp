#include "burdockpulley/clock.h"
#include "peer_types.h"
#include "stop_driver.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

namespace {

class IgnoringHandler : public PeerNetwork::Handler {
public:
  void onMessage(const HostId &, wire::Message &&) override {}
  void onPeerLost(const HostId &) override {}
};

} // namespace

// A keeper that had handed over ended at once, and cut a request that another
// host had sent before it knew of the new keeper.
BOOST_AUTO_TEST_CASE(a_stop_serves_requests_that_were_on_their_way) {
  std::unique_ptr<event_base, decltype(&event_base_free)> Base(event_base_new(),
                                                               event_base_free);
  IgnoringHandler Handler;
  PeerNetwork Peers(Base.get(), wire::Hello(), Handler);
  HostState State;
  // At the second look, a request has arrived that takes until the fifth.
  int Looks = 0;
  bool Listening = true;
  bool Finished = false;
  StopDriver::Hooks Calls;
  Calls.m_inFlight = [&]() -> std::size_t {
    Looks += Listening ? 0 : 1;
    return Looks >= 2 && Looks < 5 ? 1 : 0;
  };
  Calls.m_stopListening = [&] { Listening = false; };
  Calls.m_hostsChanged = [] {};
  Calls.m_finished = [&] { Finished = true; };
  StopDriver Stop(Base.get(), State, Peers, std::move(Calls));
  Stop.stop(bootClockNow());
  while (!Finished)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  BOOST_TEST(Looks >= 5);
}
