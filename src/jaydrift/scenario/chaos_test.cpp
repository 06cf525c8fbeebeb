#include <jaydrift/scenario/chaos.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaydrift::scenario {

// Guards each invariant that the oracle checks against faults that come at any
// moment, together or twice.
RC_GTEST_PROP(chaos, invariants_hold_under_random_faults, ())
{
    constexpr int steps = 60;
    auto const seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    auto const result = run_chaos(seed, steps);
    RC_ASSERT(result.starts > 0U);
    for (auto const& mistake : result.mistakes)
    {
        RC_LOG() << "jaydrift-scenario --chaos " << seed << ": " << mistake
                 << '\n';
    }
    RC_ASSERT(result.mistakes.empty());
}

} // namespace jaydrift::scenario
