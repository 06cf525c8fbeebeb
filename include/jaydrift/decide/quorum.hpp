#ifndef JAYDRIFT_DECIDE_QUORUM_HPP
#define JAYDRIFT_DECIDE_QUORUM_HPP

#include <cstddef>

namespace jaydrift::decide {

/// Tells whether `accepted` of `voters` voters, with the store's vote if
/// `store` is set, are a quorum: each voter has 2 votes and the store has 1,
/// and a quorum is more than half of all votes.
constexpr bool is_quorum(std::size_t voters, std::size_t accepted, bool store)
{
    auto const votes = 2 * accepted + (store ? 1 : 0);
    return 2 * votes > 2 * voters + 1;
}

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_QUORUM_HPP
