#include <jaydrift/decide/reduce.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/stop.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <variant>

namespace jaydrift::decide {

namespace {

/// Routes an event to the module that it concerns.
class dispatcher
{
public:
    explicit dispatcher(context& ctx) : ctx_(ctx) {}

    void operator()(timer_due const&)
    {
        membership::on_timer(ctx_);
        workers::on_timer(ctx_);
        ownership::on_timer(ctx_);
        policy::on_timer(ctx_);
        requests::on_timer(ctx_);
        batch::on_timer(ctx_);
        journal::on_timer(ctx_);
        stop::on_timer(ctx_);
    }

    void operator()(request_arrived const& input)
    {
        requests::on_request_arrived(ctx_, input);
    }

    void operator()(job_arrived const& input)
    {
        batch::on_job_arrived(ctx_, input);
    }

    void operator()(operator_called const& input)
    {
        if (auto const* job = std::get_if<job_request>(&input.request))
        {
            batch::on_operator_called(ctx_, input, *job);
            return;
        }
        policy::on_operator_called(ctx_, input);
    }

    void operator()(peer_called const& input)
    {
        std::visit([&](auto const& request) { from_peer(input, request); },
                   input.request);
    }

    void operator()(worker_replied const& input)
    {
        workers::on_reply(ctx_, input.worker, input.reply);
        switch (module_of(input.correlation))
        {
        case reducer_module::ownership:
            return ownership::on_worker_replied(ctx_, input);
        case reducer_module::requests:
            return requests::on_worker_replied(ctx_, input);
        case reducer_module::batch:
            return batch::on_worker_replied(ctx_, input);
        default:
            return;
        }
    }

    void operator()(worker_failed const& input)
    {
        switch (module_of(input.correlation))
        {
        case reducer_module::ownership:
            return ownership::on_worker_failed(ctx_, input);
        case reducer_module::requests:
            return requests::on_worker_failed(ctx_, input);
        case reducer_module::batch:
            return batch::on_worker_failed(ctx_, input);
        default:
            return;
        }
    }

    void operator()(store_replied const& input)
    {
        switch (module_of(input.correlation))
        {
        case reducer_module::membership:
            return membership::on_store_replied(ctx_, input);
        case reducer_module::ownership:
            return ownership::on_store_replied(ctx_, input);
        case reducer_module::policy:
            return policy::on_store_replied(ctx_, input);
        case reducer_module::workers:
            return workers::on_store_replied(ctx_, input);
        case reducer_module::journal:
            return journal::on_store_replied(ctx_, input);
        default:
            return;
        }
    }

    void operator()(store_failed const& input)
    {
        switch (module_of(input.correlation))
        {
        case reducer_module::membership:
            return membership::on_store_failed(ctx_, input);
        case reducer_module::ownership:
            return ownership::on_store_failed(ctx_, input);
        case reducer_module::policy:
            return policy::on_store_failed(ctx_, input);
        case reducer_module::workers:
            return workers::on_store_failed(ctx_, input);
        case reducer_module::journal:
            return journal::on_store_failed(ctx_, input);
        default:
            return;
        }
    }

    void operator()(peer_replied const& input)
    {
        switch (module_of(input.correlation))
        {
        case reducer_module::membership:
            return membership::on_peer_replied(ctx_, input);
        case reducer_module::ownership:
            return ownership::on_peer_replied(ctx_, input);
        case reducer_module::policy:
            return policy::on_peer_replied(ctx_, input);
        case reducer_module::requests:
            return requests::on_peer_replied(ctx_, input);
        case reducer_module::batch:
            return batch::on_peer_replied(ctx_, input);
        default:
            return;
        }
    }

    void operator()(peer_failed const& input)
    {
        switch (module_of(input.correlation))
        {
        case reducer_module::membership:
            return membership::on_peer_failed(ctx_, input);
        case reducer_module::ownership:
            return ownership::on_peer_failed(ctx_, input);
        case reducer_module::policy:
            return policy::on_peer_failed(ctx_, input);
        case reducer_module::requests:
            return requests::on_peer_failed(ctx_, input);
        case reducer_module::batch:
            return batch::on_peer_failed(ctx_, input);
        default:
            return;
        }
    }

    void operator()(stop_requested const&) { stop::on_stop_requested(ctx_); }

private:
    void from_peer(peer_called const& call, heartbeat const& beat)
    {
        membership::on_heartbeat(ctx_, call, beat);
    }

    void from_peer(peer_called const& call, execute_request const& request)
    {
        requests::on_execute(ctx_, call, request);
    }

    void from_peer(peer_called const& call, query_request const& request)
    {
        requests::on_query(ctx_, call, request);
    }

    void from_peer(peer_called const& call, job_request const& request)
    {
        batch::on_job_forwarded(ctx_, call, request);
    }

    void from_peer(peer_called const& call, policy_update const& update)
    {
        policy::on_policy_update(ctx_, call, update);
    }

    void from_peer(peer_called const& call, hand_over_request const& request)
    {
        ownership::on_hand_over(ctx_, call, request);
    }

    context& ctx_;
};

} // namespace

effect_list reduce(daemon_state& state, event const& input, time_ms now)
{
    effect_list effects;
    context ctx{state, now, effects};
    std::visit(dispatcher(ctx), input);
    return effects;
}

time_ms next_timer(daemon_state const& state)
{
    return std::min({membership::next_timer(state), workers::next_timer(state),
                     ownership::next_timer(state), policy::next_timer(state),
                     requests::next_timer(state), batch::next_timer(state),
                     journal::next_timer(state), stop::next_timer(state)});
}

} // namespace jaydrift::decide
