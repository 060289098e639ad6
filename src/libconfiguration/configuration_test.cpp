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
};

Declarations oneTenant(const std::string &Name) {
  Declarations Set;
  Set.m_tenants.push_back(Tenant{TenantId(Name), sha256Hex(Name)});
  return Set;
}

std::shared_ptr<const PublishedSet> current(Store &Source) {
  std::shared_ptr<const PublishedSet> Set;
  SetReader(Source).readCurrent(
      [&](const SetReader::Result &Result) { Set = std::get<0>(Result); });
  return Set;
}

Publisher::Result publish(Store &Target, const std::string &Tenant,
                          const PublishedSet &Base) {
  Publisher::Result Outcome;
  Publisher(Target).publish(
      oneTenant(Tenant), Base, "test",
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
  BOOST_TEST(Now->m_declarations.m_tenants.at(0).m_name.value() == "first");
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back) {
  DirectStore Store;
  Store.m_loseAnswerOf = 2;
  BOOST_TEST((publish(Store, "first", *current(Store)) ==
              Publisher::Result(Revision(1))));
  BOOST_TEST((current(Store)->m_root.m_revision == Revision(1)));
}
