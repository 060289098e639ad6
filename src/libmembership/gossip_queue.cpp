#include "burdockpulley/membership.h"

#include <algorithm>
#include <bit>

namespace burdockpulley {
namespace detail {

namespace {

constexpr unsigned RoundsPerDoubling = 3;

bool sameSubject(const MemberUpdate &A, const MemberUpdate &B) {
  return A.m_host == B.m_host && A.m_observer == B.m_observer;
}

} // namespace

void GossipQueue::add(const MemberUpdate &News) {
  std::erase_if(m_items, [&](const Item &Each) {
    bool Decided = News.m_state != MemberState::Suspect;
    return sameSubject(Each.m_news, News) ||
           (Decided && Each.m_news.m_host == News.m_host);
  });
  m_items.push_front({News});
}

std::vector<MemberUpdate> GossipQueue::take(std::size_t Count,
                                            std::size_t Members) {
  auto Doublings = static_cast<unsigned>(std::bit_width(Members));
  unsigned Limit = RoundsPerDoubling * Doublings;
  std::vector<MemberUpdate> Taken;
  for (std::size_t I = 0; I < std::min(Count, m_items.size()); ++I) {
    Taken.push_back(m_items[I].m_news);
    ++m_items[I].m_sent;
  }
  std::erase_if(m_items,
                [&](const Item &Each) { return Each.m_sent >= Limit; });
  std::stable_sort(
      m_items.begin(), m_items.end(),
      [](const Item &A, const Item &B) { return A.m_sent < B.m_sent; });
  return Taken;
}

} // namespace detail
} // namespace burdockpulley
