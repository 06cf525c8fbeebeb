#ifndef JAYDRIFT_DECIDE_FAKE_WORKER_TEST_HPP
#define JAYDRIFT_DECIDE_FAKE_WORKER_TEST_HPP

#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/core/worker_request.hpp>

#include <algorithm>

namespace jaydrift::decide {

/// Worker of a test: the rules of epochs, generations and deadlines.
class fake_worker
{
public:
    worker_reply answer(worker_request const& request, time_ms now)
    {
        worker_reply reply;
        reply.outcome = std::visit(
            [&](auto const& call) { return on(call, now + clock_ahead); },
            request);
        reply.worker_clock = now + clock_ahead;
        reply.epoch = epoch;
        reply.policy_version = policy_version;
        return reply;
    }

    /// Tells whether a start that arrives now is accepted.
    bool accepts(ownership_term const& term, time_ms start_before,
                 time_ms now) const
    {
        return term.epoch == epoch && term.owner == owner
               && now + clock_ahead < start_before;
    }

    /// Forgets everything, as a restarted VM does.
    void restart() { *this = fake_worker{}; }

    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t generation = 0;
    std::uint64_t policy_version = 0;
    time_ms clock_ahead{5000};
    int fences = 0;

private:
    worker_outcome on(fence_request const& request, time_ms)
    {
        auto const& term = request.term;
        if (term.epoch < epoch || (term.epoch == epoch && term.owner != owner))
        {
            return worker_outcome::stale_epoch;
        }
        if (term.generation < generation)
        {
            return worker_outcome::stale_generation;
        }
        ++fences;
        epoch = term.epoch;
        owner = term.owner;
        generation = term.generation;
        return worker_outcome::ok;
    }

    worker_outcome on(renew_request const& request, time_ms)
    {
        auto const& term = request.term;
        if (term.epoch != epoch || term.owner != owner)
        {
            return worker_outcome::stale_epoch;
        }
        generation = std::max(generation, term.generation);
        policy_version = std::max(policy_version, request.policy_version);
        return worker_outcome::ok;
    }

    template<class Request>
    worker_outcome on(Request const&, time_ms)
    {
        return worker_outcome::failed;
    }
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FAKE_WORKER_TEST_HPP
