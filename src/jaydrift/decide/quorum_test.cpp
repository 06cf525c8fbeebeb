#include <jaydrift/decide/quorum.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaydrift::decide {

namespace {

// Guards against two owners at once: two daemons with disjoint votes must never
// both have a quorum.
RC_GTEST_PROP(quorum, disjoint_votes_are_never_both_quorums, ())
{
    auto const voters = *rc::gen::inRange<std::size_t>(1, 8);
    auto const first = *rc::gen::inRange<std::size_t>(0, voters + 1);
    auto const second = *rc::gen::inRange<std::size_t>(0, voters - first + 1);
    auto const store = *rc::gen::inRange(0, 3);
    RC_ASSERT(!(is_quorum(voters, first, store == 1)
                && is_quorum(voters, second, store == 2)));
}

// Guards against a rule that is stricter than the design: a majority of the
// voters is enough, and half of them is with the store.
RC_GTEST_PROP(quorum, needs_no_more_than_the_design, ())
{
    auto const voters = *rc::gen::inRange<std::size_t>(1, 8);
    RC_ASSERT(is_quorum(voters, voters / 2 + 1, false));
    RC_ASSERT(is_quorum(voters, (voters + 1) / 2, true));
    RC_ASSERT(!is_quorum(voters, voters / 2, false));
}

} // namespace

} // namespace jaydrift::decide
