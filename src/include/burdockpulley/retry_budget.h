#ifndef BURDOCKPULLEY_RETRY_BUDGET_H
#define BURDOCKPULLEY_RETRY_BUDGET_H

namespace burdockpulley {

/// Allows retries as a share of successes, so that retries can not multiply
/// the load of a service that fails.
///
/// Thread safety: none.
class RetryBudget {
public:
  /// \p Share is the number of retries that one success earns, \p Reserve the
  /// most that can be saved up; the budget starts with the reserve.
  RetryBudget(double Share, double Reserve)
      : m_share(Share), m_reserve(Reserve), m_saved(Reserve) {}

  /// A request has succeeded.
  void onSuccess() {
    m_saved = m_saved + m_share > m_reserve ? m_reserve : m_saved + m_share;
  }

  /// Takes one retry. False when there is none.
  bool take() {
    if (m_saved < 1)
      return false;
    m_saved -= 1;
    return true;
  }

private:
  double m_share;
  double m_reserve;
  double m_saved;
};

} // namespace burdockpulley

#endif
