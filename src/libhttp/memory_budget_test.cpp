#include "burdockpulley/memory_budget.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

constexpr std::size_t MaxBytes = 16 << 20;
constexpr std::size_t LargeBody = 1 << 20;
constexpr Instant Start{Duration(1'000'000)};

struct BudgetFixture {
  MemoryCharge charge(std::size_t Bytes, const char *Address = "10.0.0.1") {
    MemoryCharge Charge(&m_budget, MemoryKind::Bodies,
                        m_budget.account(Address));
    Charge.resize(Bytes);
    return Charge;
  }

  MemoryBudget m_budget{MaxBytes};
};

} // namespace

// Guards against charges that stay after the memory has been released.
BOOST_FIXTURE_TEST_CASE(charges_end_with_their_objects, BudgetFixture) {
  {
    MemoryCharge First = charge(1000);
    MemoryCharge Second = std::move(First);
    Second.resize(700);
    MemoryCharge Third = charge(300);
    Third = std::move(Second);
    BOOST_TEST(m_budget.total() == 700u);
    BOOST_TEST(m_budget.used(MemoryKind::Bodies) == 700u);
    BOOST_TEST(m_budget.largest()->bytes() == 700u);
  }
  BOOST_TEST(m_budget.total() == 0u);
  BOOST_TEST(m_budget.largest() == nullptr);
}

// Guards against refusing requests while reading less would do, and against
// stopping ordinary small requests first.
BOOST_FIXTURE_TEST_CASE(limits_get_stricter_in_order, BudgetFixture) {
  MemoryCharge Held = charge(MaxBytes / 2);
  BOOST_TEST(m_budget.mayRead(LargeBody, nullptr));
  Held.resize(MaxBytes * 3 / 4);
  BOOST_TEST((m_budget.level() == MemoryBudget::Level::Tight));
  BOOST_TEST(!m_budget.mayRead(LargeBody, nullptr));
  BOOST_TEST(m_budget.mayRead(1000, nullptr));
  BOOST_TEST(m_budget.mayBeginBody(nullptr));
  Held.resize(MaxBytes * 7 / 8);
  BOOST_TEST(!m_budget.mayRead(1000, nullptr));
  BOOST_TEST(!m_budget.mayBeginBody(nullptr));
  BOOST_TEST(m_budget.mayServe());
  BOOST_TEST(m_budget.unreadToGiveUp() > 0u);
  Held.resize(MaxBytes);
  BOOST_TEST(!m_budget.mayServe());
}

// Guards against bodies that are given up although a short pause would do, and
// against reading that starts and stops with every body.
BOOST_FIXTURE_TEST_CASE(bodies_are_given_up_after_a_pause, BudgetFixture) {
  MemoryCharge Held = charge(MaxBytes * 3 / 4);
  BOOST_TEST(m_budget.bodiesToGiveUp(true, Start) == 0u);
  Instant Later = Start + std::chrono::seconds(1);
  BOOST_TEST(m_budget.bodiesToGiveUp(true, Later) > MaxBytes / 16);
  BOOST_TEST(m_budget.bodiesToGiveUp(false, Later) == MaxBytes / 8);
  Held.resize(MaxBytes / 16 * 10);
  BOOST_TEST(!m_budget.mayRead(LargeBody, nullptr));
  Held.resize(MaxBytes / 4);
  BOOST_TEST(m_budget.bodiesToGiveUp(true, Later) == 0u);
  // As many go on as can finish.
  BOOST_TEST(m_budget.mayResume(LargeBody, MaxBytes / 4, nullptr));
  BOOST_TEST(!m_budget.mayResume(LargeBody, MaxBytes / 4, nullptr));
  // Scarce memory does not wait.
  Held.resize(MaxBytes * 7 / 8);
  BOOST_TEST(m_budget.bodiesToGiveUp(true, Later) > 0u);
}

// Guards against one address that takes the memory of all others.
BOOST_FIXTURE_TEST_CASE(an_address_takes_no_more_than_its_share,
                        BudgetFixture) {
  auto Account = m_budget.account("10.0.0.1");
  MemoryCharge First = charge(MaxBytes * 5 / 8);
  BOOST_TEST(m_budget.mayBeginBody(Account.get()));
  MemoryCharge Second = charge(64 << 10, "10.0.0.2");
  MemoryCharge Third = charge(64 << 10, "10.0.0.3");
  BOOST_TEST(m_budget.overShare(Account.get()));
  BOOST_TEST(!m_budget.mayBeginBody(Account.get()));
  BOOST_TEST(!m_budget.mayRead(LargeBody, Account.get()));
  BOOST_TEST(m_budget.mayBeginBody(m_budget.account("10.0.0.2").get()));
  Second.resize(0);
  Third.resize(0);
  BOOST_TEST(m_budget.mayBeginBody(Account.get()));
}

// Guards against a single large body that gets 503 on a host with ample memory
// because two other addresses hold 64 KiB each.
BOOST_FIXTURE_TEST_CASE(the_largest_request_is_within_its_share_in_calm,
                        BudgetFixture) {
  m_budget.setLargestRequest(MaxBytes * 5 / 8);
  auto Account = m_budget.account("10.0.0.1");
  MemoryCharge First = charge(MaxBytes * 5 / 8);
  MemoryCharge Second = charge(64 << 10, "10.0.0.2");
  MemoryCharge Third = charge(64 << 10, "10.0.0.3");
  BOOST_TEST(m_budget.mayRead(LargeBody, Account.get()));
  BOOST_TEST(m_budget.mayBeginBody(Account.get()));
  First.resize(MaxBytes * 5 / 8 + 1);
  BOOST_TEST(m_budget.overShare(Account.get()));
  // Others need memory.
  First.resize(MaxBytes * 5 / 8);
  Second.resize(MaxBytes / 8);
  BOOST_TEST((m_budget.level() == MemoryBudget::Level::Tight));
  BOOST_TEST(m_budget.overShare(Account.get()));
}

// Guards against freed memory that the allocator keeps.
BOOST_FIXTURE_TEST_CASE(released_memory_is_trimmed_once, BudgetFixture) {
  MemoryCharge Held = charge(MaxBytes / 2);
  Instant Later = Start + std::chrono::seconds(1);
  BOOST_TEST(!m_budget.trimDue(Start));
  Held.resize(0);
  BOOST_TEST(m_budget.trimDue(Later));
  BOOST_TEST(!m_budget.trimDue(Later + std::chrono::seconds(9)));
}

// Guards against up to 4 MiB that stay resident because the last callers
// released less than that after the last trimming.
BOOST_FIXTURE_TEST_CASE(small_releases_are_trimmed_later, BudgetFixture) {
  MemoryCharge Held = charge(MaxBytes / 2);
  Held.resize(LargeBody);
  Instant First = Start + std::chrono::seconds(1);
  BOOST_TEST(m_budget.trimDue(First));
  Held.resize(0);
  BOOST_TEST(!m_budget.trimDue(First + std::chrono::seconds(2)));
  BOOST_TEST(m_budget.trimDue(First + std::chrono::seconds(5)));
  BOOST_TEST(!m_budget.trimDue(First + std::chrono::seconds(10)));
}

// Guards against the memory of readiness checks and metrics, which is not
// charged, that stays resident because nothing charged is released after them.
BOOST_FIXTURE_TEST_CASE(uncharged_releases_are_trimmed, BudgetFixture) {
  Instant Later = Start + std::chrono::seconds(9);
  BOOST_TEST(!m_budget.trimDue(Start));
  m_budget.noteUnchargedRelease(LargeBody);
  BOOST_TEST(m_budget.trimDue(Later));
  BOOST_TEST(!m_budget.trimDue(Later + std::chrono::seconds(9)));
}
