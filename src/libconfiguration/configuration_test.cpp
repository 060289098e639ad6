#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"
#include "burdockpulley/store_state.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

/// Answers at once, and can lose the answer of a commit after its effect.
class DirectStore : public Store {
public:
  void read(const StoreQuery &Query, StoreCallback<StoreRange> Done) override {
    Done(m_state.read(Query));
  }
  void commit(const StoreTransaction &Change,
              StoreCallback<StoreCommit> Done) override {
    ++m_commits;
    if (m_commits == m_delayCommit) {
      m_delayed = Change;
      return Done(StoreError::Unknown);
    }
    StoreCommit Commit = m_state.commit(Change);
    if (m_commits == m_loseAnswerOf)
      return Done(StoreError::Unknown);
    Done(Commit);
  }
  void grantLease(Duration, StoreCallback<StoreLease> Done) override {
    Done(StoreLease(1));
  }
  void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) override {
    Done(Lease);
  }

  StoreState m_state;
  int m_commits = 0;
  int m_loseAnswerOf = 0;
  int m_delayCommit = 0; ///< Is given up on before it takes effect.
  StoreTransaction m_delayed;
};

Declarations oneTeam(const std::string &Name) {
  Declarations Set;
  Set.m_teams.push_back(Team{TeamId(Name), sha256Hex(Name)});
  return Set;
}

std::shared_ptr<const PublishedSet> current(Store &Source) {
  std::shared_ptr<const PublishedSet> Set;
  SetReader(Source).readCurrent(
      [&](const SetReader::Result &Result) { Set = std::get<0>(Result); });
  return Set;
}

Publisher::Result publish(Store &Target, const std::string &Team,
                          const PublishedSet &Base) {
  Publisher::Result Outcome;
  Publisher(Target).publish(
      oneTeam(Team), Base, "test",
      [&](const Publisher::Result &Result) { Outcome = Result; });
  return Outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(of_two_operators_who_race_one_gets_a_conflict) {
  DirectStore Store;
  auto Base = current(Store);
  BOOST_TEST(
      (publish(Store, "first", *Base) == Publisher::Result(Revision(1))));
  BOOST_TEST((publish(Store, "second", *Base) ==
              Publisher::Result(PublishError::Conflict)));
  auto Now = current(Store);
  BOOST_TEST(Now->m_declarations.m_teams.at(0).m_name.value() == "first");
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back) {
  DirectStore Store;
  Store.m_loseAnswerOf = 2;
  BOOST_TEST((publish(Store, "first", *current(Store)) ==
              Publisher::Result(Revision(1))));
  BOOST_TEST((current(Store)->m_root.m_revision == Revision(1)));
}

BOOST_AUTO_TEST_CASE(a_write_that_was_given_up_on_never_takes_effect) {
  DirectStore Store;
  Store.m_delayCommit = 2;
  auto Base = current(Store);
  BOOST_TEST((publish(Store, "first", *Base) ==
              Publisher::Result(PublishError::Unreachable)));
  // The root has not moved, so only the fence can hold the late write back.
  BOOST_TEST(!Store.m_state.commit(Store.m_delayed).m_applied);
  BOOST_TEST((current(Store)->m_root.m_revision == Revision()));
  BOOST_TEST(
      (publish(Store, "second", *Base) == Publisher::Result(Revision(1))));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_after_another_s_success_is_a_conflict) {
  DirectStore Store;
  auto Base = current(Store);
  BOOST_TEST(
      (publish(Store, "first", *Base) == Publisher::Result(Revision(1))));
  Store.m_loseAnswerOf = Store.m_commits + 2;
  BOOST_TEST((publish(Store, "second", *Base) ==
              Publisher::Result(PublishError::Conflict)));
}

BOOST_AUTO_TEST_CASE(a_set_larger_than_a_value_is_read_back_whole) {
  DirectStore Store;
  Declarations Set;
  for (int I = 0; I < 12'000; ++I) {
    std::string Name = "tenant-" + std::to_string(100'000 + I);
    Set.m_teams.push_back(Team{TeamId(Name), sha256Hex(Name)});
  }
  Publisher(Store).publish(Set, *current(Store), "test",
                           [](const Publisher::Result &) {});
  auto Now = current(Store);
  BOOST_TEST(Now->m_root.m_chunks > 2u);
  BOOST_TEST(Now->m_declarations.m_teams.size() == 12'000u);
}
