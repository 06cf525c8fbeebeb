#ifndef JAYDRIFT_DECIDE_RENEW_ROUND_HPP
#define JAYDRIFT_DECIDE_RENEW_ROUND_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace jaydrift::decide {

/// One round of renewals. Rounds overlap, so that a lost reply delays none.
struct renew_round
{
    std::uint64_t number = 0;
    time_ms sent_at;
    std::uint64_t generation = 0;
    std::uint64_t policy_version = 0;
    std::set<std::string, std::less<>> accepted;

    /// A read sent in this round found this term in the shard's record.
    bool store_vote = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RENEW_ROUND_HPP
