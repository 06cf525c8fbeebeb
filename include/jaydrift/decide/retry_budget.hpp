#ifndef JAYDRIFT_DECIDE_RETRY_BUDGET_HPP
#define JAYDRIFT_DECIDE_RETRY_BUDGET_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Token bucket that limits retries to a fraction of the first attempts. All
/// amounts are in tenths of a token.
struct retry_budget
{
    /// A tenth of a token per first attempt, so that retries add 10 % at most.
    static constexpr std::int64_t gain = 1;
    static constexpr std::int64_t cost = 10;

    /// Ten tokens, so that a few retries are allowed after a time without
    /// requests.
    static constexpr std::int64_t limit = 100;

    std::int64_t tenths = limit;

    void first_attempt()
    {
        tenths = tenths + gain < limit ? tenths + gain : limit;
    }

    /// Takes a token if there is one.
    bool take()
    {
        if (tenths < cost)
        {
            return false;
        }
        tenths -= cost;
        return true;
    }
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RETRY_BUDGET_HPP
