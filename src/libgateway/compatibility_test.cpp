// The messages and records that hosts of different versions exchange, as bytes
// of an earlier version. What a change may do with them is in CONTRIBUTING.md.
#include "burdockpulley/compression.h"
#include "burdockpulley/key_table.h"
#include "burdockpulley/team_shares.h"
#include "burdockpulley/thrift_codec.h"
#include "peer_transport.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

std::string hex(const std::string &Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  for (char Byte : Bytes) {
    auto Code = static_cast<unsigned char>(Byte);
    Text += Digits[Code >> 4];
    Text += Digits[Code & 0xf];
  }
  return Text;
}

std::string fromHex(const std::string &Text) {
  std::string Bytes;
  for (std::size_t At = 0; At + 1 < Text.size(); At += 2)
    Bytes += static_cast<char>(std::stoi(Text.substr(At, 2), nullptr, 16));
  return Bytes;
}

wire::Datagram datagram() {
  wire::Datagram Message;
  Message.host = "h1";
  Message.sequence = 1'700'000'000'000'001;
  return Message;
}

wire::Datagram hostStatus() {
  wire::UpstreamLoadEntry Entry;
  Entry.upstream = -123456;
  Entry.outstanding = 3;
  Entry.__set_running(2);
  Entry.__set_waiting(1);
  Entry.__set_slownessPercent(150);
  Entry.__set_reportAgeMillis(40);
  Entry.__set_hostWaiting(5);
  Entry.__set_serviceTimePercent(110);
  Entry.__set_serviceTimeSamples(7);
  Entry.__set_requestLimit(12.5);
  Entry.__set_requestLimitAgeMillis(30);
  Entry.__set_sent(99);
  Entry.__set_answeredAgeMillis(20);
  wire::QueueLength Queue;
  Queue.serviceHash = 77;
  Queue.waiting = 4;
  wire::HostStatus Status;
  Status.upstreams = {Entry};
  Status.queues = {Queue};
  Status.stopping = true;
  Status.coordinatorEpoch = 412;
  Status.__set_storeLost(true);
  Status.__set_upstreamsLost(true);
  wire::Datagram Message = datagram();
  Message.__set_hostStatus(Status);
  return Message;
}

wire::Datagram ownersUpdate() {
  wire::OwnerSpan Owned;
  Owned.skipped = 10;
  Owned.keys = 20;
  Owned.owner = 0;
  wire::OwnerSpan Free;
  Free.skipped = 0;
  Free.keys = 5;
  Free.owner = -1;
  wire::OwnersUpdate Update;
  Update.serviceName = "herd";
  Update.epoch = 412;
  Update.version = 9;
  Update.step = 30;
  Update.__set_baseVersion(8);
  Update.__set_baseStep(28);
  Update.owners = {"i-1"};
  Update.spans = {Owned, Free};
  wire::Datagram Message = datagram();
  Message.__set_ownersUpdate(Update);
  return Message;
}

wire::Datagram otherMessages() {
  wire::Datagram Message = datagram();
  wire::KeyCount Count;
  Count.key = 65535;
  Count.count = 12;
  wire::KeyLoadReport Report;
  Report.serviceName = "herd";
  Report.counts = {Count};
  Message.__set_keyLoad(Report);
  wire::CrashReport Crash;
  Crash.fingerprint = -5;
  Crash.upstream = "i-1";
  Message.__set_crash(Crash);
  wire::StoreChange Change;
  Change.key = "servers/i-1";
  Change.value = std::string("\0v", 2);
  Change.version = 413;
  Change.removed = false;
  Change.__set_packed(true);
  wire::StoreUpdate Update;
  Update.after = 412;
  Update.version = 413;
  Update.events = {Change};
  Update.__set_renewed({1, -2});
  Message.__set_storeUpdate(Update);
  wire::OwnersRequest Owners;
  Owners.serviceName = "herd";
  Message.__set_ownersRequest(Owners);
  wire::StoreUpdateRequest Missed;
  Missed.after = 400;
  Message.__set_storeUpdateRequest(Missed);
  return Message;
}

KeyTable keyTable() {
  KeyTable Table;
  Table.m_service = ServiceId("herd");
  Table.m_version = 9;
  Table.m_lastToken = FencingToken(31);
  Table.m_ranges = {{0, 999, UpstreamId("i-1"), UpstreamIncarnation(1700),
                     FencingToken(30), "h"},
                    {1000, ShardKeyCount - 1, {}, {}, FencingToken(31), ""}};
  return Table;
}

HostRecord hostRecord() {
  return {{"10.1.0.18", 7200}, DomainId("a"), false, {"10.1.0.18", 7201}};
}

/// Encoded by commit 327da46, in hexadecimal.
const std::string GoldenHostStatus =
    "18026831168280f281838985061c191c15ff880f15061504150215ac02155015"
    "0a15dc01150e170000000000002940153c15c601152800191c159a0115080011"
    "16b80611110000";
const std::string GoldenOwnersUpdate =
    "18026831168280f281838985066c18046865726416b8061612153c1610153819"
    "1803692d31192c151415281500001500150a1501000000";
const std::string GoldenOtherMessages =
    "18026831168280f281838985063c180468657264191c15feff07151800001c16"
    "091803692d31001c16b80616ba06191c180b736572766572732f692d31180200"
    "7616ba0612110019250203002c180468657264001c16a0060000";
const std::string GoldenKeyTable =
    "1804686572641612163e192c15ce0f1803692d3116c81a163c1801680015feff"
    "0718001600163e18000000";
const std::string GoldenHostRecord =
    "10.1.0.18:7200 a narrow forward=10.1.0.18:7201";

/// Requires that an earlier version reads a message of this one, and this one a
/// message of the earlier.
template <class Message>
void requireSame(const Message &Value, const std::string &Golden) {
  BOOST_TEST(hex(encodeThrift(Value)) == Golden);
  Message Decoded;
  BOOST_REQUIRE(decodeThrift(fromHex(Golden), Decoded));
  BOOST_TEST((Decoded == Value));
}

} // namespace

BOOST_AUTO_TEST_SUITE(compatibility)

BOOST_AUTO_TEST_CASE(messages_without_new_fields_are_as_before) {
  requireSame(hostStatus(), GoldenHostStatus);
  requireSame(ownersUpdate(), GoldenOwnersUpdate);
  requireSame(otherMessages(), GoldenOtherMessages);
}

BOOST_AUTO_TEST_CASE(stored_records_are_as_before) {
  BOOST_TEST(hex(encodeKeyTable(keyTable())) == GoldenKeyTable);
  auto Table = decodeKeyTable(fromHex(GoldenKeyTable));
  BOOST_REQUIRE(Table.has_value());
  BOOST_TEST(encodeKeyTable(*Table) == encodeKeyTable(keyTable()));
  BOOST_TEST(encodeHostRecord(hostRecord()) == GoldenHostRecord);
  BOOST_TEST((decodeHostRecord(GoldenHostRecord) == hostRecord()));
}

// What an earlier version does not know is at the end and can be skipped.
BOOST_AUTO_TEST_CASE(new_fields_are_added_behind_the_known_ones) {
  HostRecord Record = hostRecord();
  Record.m_relays = true;
  BOOST_TEST(encodeHostRecord(Record) == GoldenHostRecord + " relays");
  wire::Datagram Update = ownersUpdate();
  Update.ownersUpdate.__set_relay(true);
  requireSame(Update,
              "18026831168280f281838985066c18046865726416b8061612153c161015"
              "38191803692d31192c151415281500001500150a150100110000");
  wire::Datagram Status = hostStatus();
  Status.hostStatus.upstreams[0].__set_leavingIncarnation(1700);
  requireSame(Status, "18026831168280f281838985061c191c15ff880f15061504150215ac"
                      "021550150a15dc01150e170000000000002940153c15c601152816c8"
                      "1a00191c159a011508001116b80611110000");
}

BOOST_AUTO_TEST_CASE(teams_are_added_behind_the_known_fields) {
  HostRecord Record = hostRecord();
  Record.m_relays = true;
  Record.m_teams = true;
  BOOST_TEST(encodeHostRecord(Record) == GoldenHostRecord + " relays teams");
  BOOST_TEST((decodeHostRecord(GoldenHostRecord + " relays teams") == Record));
  wire::TeamUse Use;
  Use.team = -77;
  Use.admitted = 1200;
  Use.demandHundredths = 4250;
  Use.__set_leftPercent(40);
  Use.__set_refunded(3);
  wire::Datagram Status = hostStatus();
  Status.hostStatus.__set_teams({Use});
  requireSame(Status,
              "18026831168280f281838985061c191c15ff880f15061504150215ac"
              "021550150a15dc01150e170000000000002940153c15c60115280019"
              "1c159a011508001116b8061111191c15990115e01215b44215501506000000");
}

BOOST_AUTO_TEST_CASE(the_share_of_a_team_is_added_behind_the_known_fields) {
  wire::Datagram Status = hostStatus();
  wire::QueuedPriority Queued;
  Queued.priority = 5;
  Queued.waiting = 3;
  Queued.workMillis = 200;
  Queued.__set_aboveShare(true);
  Status.hostStatus.queues[0].__set_priorities({Queued});
  requireSame(Status,
              "18026831168280f281838985061c191c15ff880f15061504150215ac"
              "021550150a15dc01150e170000000000002940153c15c601152800191c159a"
              "011508191c150a15061590033100001116b80611110000");
}

BOOST_AUTO_TEST_CASE(load_by_priority_is_added_among_the_known_fields) {
  wire::Datagram Status = hostStatus();
  wire::QueuedPriority Queued;
  Queued.priority = 5;
  Queued.waiting = 3;
  Queued.workMillis = 200;
  Queued.__set_inFlight(7);
  Queued.__set_arrivalsHundredths(1250);
  Queued.__set_aboveShare(true);
  Status.hostStatus.queues[0].__set_priorities({Queued});
  requireSame(Status,
              "18026831168280f281838985061c191c15ff880f15061504150215ac"
              "021550150a15dc01150e170000000000002940153c15c601152800191c159a"
              "011508191c150a15061590"
              "03150e15c4131100001116b80611110000");
}

// Older hosts cannot decompress such values, and read the store instead.
BOOST_AUTO_TEST_CASE(bases_of_values_are_added_behind_the_known_fields) {
  wire::Datagram Others = otherMessages();
  wire::StoreChange &Change = Others.storeUpdate.events[0];
  Change.value = compressDifference("base", "value");
  BOOST_TEST(!decompress(Change.value, MaxStoreValueBytes).has_value());
  BOOST_TEST(!decompress("", MaxStoreValueBytes).has_value());
  Change.value = "v";
  Change.__set_base(410);
  Change.__set_omitted(false);
  requireSame(Others, "18026831168280f281838985063c180468657264191c15feff071518"
                      "00001c16091803692d31001c16b80616ba06191c180b736572766572"
                      "732f692d3118017616ba06121116b406120019250203002c18046865"
                      "7264001c16a0060000");
}

// Older hosts compare the numbers of messages with their own, which have no bit
// for the share.
BOOST_AUTO_TEST_CASE(priority_numbers_of_messages_have_no_bit_for_the_share) {
  for (std::uint32_t Older : {0U, 1U, 4U, 5U, (1U << 31) - 1})
    for (bool Above : {false, true}) {
      BOOST_TEST(withoutShare(withShare(Older, Above)) == Older);
      BOOST_TEST(isAboveShare(withShare(Older, Above)) == Above);
    }
  // Route 2, within the share or above it and returning, before route 3.
  BOOST_TEST(withShare(5, false) < withShare(4, true));
  BOOST_TEST(withShare(5, true) < withShare(6, false));
}

// A message of a later version.
BOOST_AUTO_TEST_CASE(unknown_fields_are_skipped) {
  // Field 15 of the outermost struct, a string, before its end.
  std::string Later = GoldenOwnersUpdate;
  Later.insert(Later.size() - 2, "780178");
  wire::Datagram Decoded;
  BOOST_REQUIRE(decodeThrift(fromHex(Later), Decoded));
  BOOST_TEST((Decoded == ownersUpdate()));
  BOOST_TEST(
      (decodeHostRecord(GoldenHostRecord + " later x=y") == hostRecord()));
}

BOOST_AUTO_TEST_SUITE_END()
