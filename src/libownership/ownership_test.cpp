#include "burdockpulley/ownership.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

/// A service with two chunks of partitions and three upstreams; h3 has twice
/// the slots of the others.
Declarations threeServers() {
  Declarations Declared;
  Service Herd;
  Herd.m_name = ServiceId("herd");
  Herd.m_keySource = KeySource::Header;
  Herd.m_partitions = PartitionsPerChunk + 4;
  Declared.m_services.push_back(Herd);
  for (const char *Name : {"h1", "h2", "h3"}) {
    Upstream Server;
    Server.m_name = UpstreamId(Name);
    Server.m_service = Herd.m_name;
    Server.m_slots = Name[1] == '3' ? 2 : 1;
    Declared.m_upstreams.push_back(Server);
  }
  return Declared;
}

} // namespace

BOOST_AUTO_TEST_CASE(first_owners_are_proportional_to_slots_and_assigned_once) {
  Declarations Declared = threeServers();
  OwnershipTable Table;
  auto Plan = planFirstOwners(Declared, Table);
  BOOST_REQUIRE(Plan.size() == 2u);
  std::int64_t Version = 5;
  for (const StoreTransaction &Change : Plan)
    BOOST_TEST(
        Table.apply({Change.m_writes[0].m_key, Change.m_writes[0].m_value,
                     StoreVersion(++Version)}));
  std::map<std::string, int> Counts;
  for (std::uint32_t I = 0; I < Declared.m_services[0].m_partitions; ++I) {
    const PartitionOwnership *Partition =
        Table.find(ServiceId("herd"), PartitionIndex(I));
    BOOST_REQUIRE(Partition);
    BOOST_TEST(Partition->m_token.value() == 1u);
    ++Counts[Partition->m_owner.value()];
  }
  BOOST_TEST(Counts["h1"] == 1025);
  BOOST_TEST(Counts["h3"] == 2050);
  BOOST_TEST(planFirstOwners(Declared, Table).empty());
}

BOOST_AUTO_TEST_CASE(an_older_entry_never_replaces_a_newer_one) {
  OwnershipTable Table;
  OwnershipChunk Chunk;
  Chunk.m_partitions = {{UpstreamId("new"), FencingToken(2), {}}};
  std::string Key = ownershipKey(ServiceId("s"), 0);
  BOOST_TEST(Table.apply({Key, encodeChunk(Chunk), StoreVersion(9)}));
  Chunk.m_partitions = {{UpstreamId("old"), FencingToken(1), {}}};
  BOOST_TEST(!Table.apply({Key, encodeChunk(Chunk), StoreVersion(8)}));
  BOOST_TEST(Table.find(ServiceId("s"), PartitionIndex(0))->m_owner.value() ==
             "new");
}

BOOST_AUTO_TEST_CASE(a_move_is_recorded_as_an_intent_once) {
  OwnershipChunk Chunk;
  Chunk.m_partitions = {{UpstreamId("a"), FencingToken(3), {}},
                        {UpstreamId("b"), FencingToken(1), UpstreamId("a")}};
  OwnershipTable Table;
  std::string Key = ownershipKey(ServiceId("s"), 0);
  BOOST_REQUIRE(Table.apply({Key, encodeChunk(Chunk), StoreVersion(9)}));
  std::vector<PlannedMove> Moves = {
      {ServiceId("s"), PartitionIndex(0), UpstreamId("a"), UpstreamId("b")},
      {ServiceId("s"), PartitionIndex(0), UpstreamId("a"), UpstreamId("c")},
      {ServiceId("s"), PartitionIndex(1), UpstreamId("b"), UpstreamId("c")}};
  auto Plan = planMoveIntents(Moves, Table);
  BOOST_REQUIRE(Plan.size() == 1u);
  BOOST_TEST(Plan[0].m_conditions[0].m_modified.value() == 9);
  OwnershipChunk Written;
  BOOST_REQUIRE(decodeChunk(Plan[0].m_writes[0].m_value, Written));
  Chunk.m_partitions[0].m_target = UpstreamId("b");
  BOOST_TEST((Written.m_partitions == Chunk.m_partitions));
}
