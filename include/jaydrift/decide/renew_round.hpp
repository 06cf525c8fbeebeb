#ifndef JAYDRIFT_DECIDE_RENEW_ROUND_HPP
#define JAYDRIFT_DECIDE_RENEW_ROUND_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace jaydrift::decide {

/// One round of renewals. The next round does not wait for the replies of this
/// one, so a lost reply delays no later round.
struct renew_round
{
    std::uint64_t number = 0;
    time_ms sent_at;

    /// Generation of the voter set and policy version that the renewals name.
    std::uint64_t generation = 0;
    std::uint64_t policy_version = 0;

    /// Workers that accepted a renewal of this round.
    std::set<std::string, std::less<>> accepted;

    /// A read that was sent in this round found this term's epoch and owner in
    /// the shard's record.
    bool store_vote = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RENEW_ROUND_HPP
