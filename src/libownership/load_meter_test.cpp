#include "burdockpulley/load_meter.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {
constexpr Duration Second{1'000'000};
} // namespace

BOOST_AUTO_TEST_CASE(
    a_steady_rate_is_measured_and_the_busiest_partitions_come_first) {
  LoadMeter Meter(2 * Second);
  Instant Now{};
  UpstreamLoad Load;
  for (int Tick = 0; Tick < 30; ++Tick) {
    for (std::uint32_t Partition = 0; Partition < 50; ++Partition)
      for (std::uint32_t I = 0; I <= Partition; ++I)
        Meter.count(PartitionIndex(Partition));
    Now += Second;
    Load = Meter.summarize(Now);
  }
  BOOST_TEST(Load.m_busiest.size() == MaxBusiestPartitions);
  BOOST_TEST((Load.m_busiest[0].m_partition == PartitionIndex(49)));
  BOOST_TEST(Load.m_busiest[0].m_requestsPerSecond == 50,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(Load.m_requestsPerSecond == 1275,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(a_partition_without_requests_is_no_longer_reported) {
  LoadMeter Meter(Second);
  Instant Now{};
  Meter.summarize(Now);
  Meter.count(PartitionIndex(3));
  Now += Second;
  BOOST_TEST(Meter.summarize(Now).m_busiest.size() == 1u);
  for (int Tick = 0; Tick < 20; ++Tick) {
    Now += Second;
    Meter.summarize(Now);
  }
  BOOST_TEST(Meter.summarize(Now + Second).m_busiest.empty());
}
