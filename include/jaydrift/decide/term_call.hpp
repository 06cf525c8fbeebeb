#ifndef JAYDRIFT_DECIDE_TERM_CALL_HPP
#define JAYDRIFT_DECIDE_TERM_CALL_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Outstanding call of a term.
struct term_call
{
    shard_id shard;
    std::uint64_t epoch = 0;

    /// Round of renewals; 0 for a fence.
    std::uint64_t round = 0;
    time_ms sent_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TERM_CALL_HPP
