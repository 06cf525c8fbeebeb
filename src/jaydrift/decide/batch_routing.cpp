#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Longer than the owner needs to make a record durable when one reply of the
/// store is lost, so that its reply arrives before the timeout.
constexpr time_ms forward_timeout{8000};

job_reply refused(std::string reason)
{
    return make_reply(call_status::refused, std::move(reason));
}

void forward(context& ctx, job_waiter const& waiter, member_info const& owner,
             job_request const& request)
{
    auto const correlation = ctx.next_correlation(reducer_module::batch);
    ctx.emit(send_peer{owner.daemon, owner.address, correlation,
                       forward_timeout, request});
    ctx.state.batch.forwarded[correlation] = {waiter, owner.daemon};
}

/// Forwards a request to the owner of its shard, or refuses it if the owner is
/// not known or another daemon has forwarded it already.
void forward_or_refuse(context& ctx, job_waiter const& waiter,
                       shard_id const& shard, job_request const& request)
{
    auto const name = to_string(shard);
    auto const owner = ownership::owner_of(ctx.state, shard);
    if (!owner)
    {
        return answer(ctx, waiter,
                      refused("shard " + name + " has no owner; try again"));
    }
    if (*owner == ctx.state.settings.self.daemon
        || waiter.from == job_waiter::origin::peer)
    {
        return answer(
            ctx, waiter,
            refused("shard " + name + " changes its owner; try again"));
    }
    auto const peer = membership::find(ctx.state, *owner);
    if (!peer)
    {
        return answer(ctx, waiter,
                      refused("address of daemon " + *owner
                              + " is not known; try again"));
    }
    forward(ctx, waiter, *peer, request);
}

/// Checks the ID and region of a request, and serves it here or forwards it.
void route(context& ctx, job_waiter const& waiter, job_request request)
{
    auto const& settings = ctx.state.settings;
    auto const [id, region] = std::visit(
        [&](auto& call) {
            if (call.home_region.empty())
            {
                call.home_region = settings.self.region;
            }
            return std::pair(call.id, call.home_region);
        },
        request);
    if (id.empty())
    {
        return answer(ctx, waiter, refused("id: must not be empty"));
    }
    if (std::find(settings.regions.begin(), settings.regions.end(), region)
        == settings.regions.end())
    {
        return answer(ctx, waiter,
                      refused("home_region: " + region
                              + " is not a region of the deployment"));
    }
    auto const shard = ownership::shard_of_key(ctx.state, region, id);
    if (!ownership::serving(ctx.state, shard, ctx.now))
    {
        return forward_or_refuse(ctx, waiter, shard, request);
    }
    auto& work = ctx.state.batch.shards[shard];
    handle_request({ctx, shard, work}, waiter, request);
}

} // namespace

void on_job_arrived(context& ctx, job_arrived const& event)
{
    route(ctx, {job_waiter::origin::caller, event.call}, event.request);
}

void on_job_forwarded(context& ctx, peer_called const& call,
                      job_request const& request)
{
    route(ctx, {job_waiter::origin::peer, call.call}, request);
}

void on_operator_called(context& ctx, operator_called const& call,
                        job_request const& request)
{
    route(ctx, {job_waiter::origin::operator_client, call.call}, request);
}

void on_peer_replied(context& ctx, peer_replied const& event)
{
    auto const call = ctx.state.batch.forwarded.extract(event.correlation);
    if (call.empty())
    {
        return;
    }
    if (auto const* const reply = std::get_if<job_reply>(&event.reply))
    {
        return answer(ctx, call.mapped().waiter, *reply);
    }
    answer(ctx, call.mapped().waiter,
           make_reply(call_status::pending,
                      "daemon " + call.mapped().owner
                          + " gave no answer about the job; ask again with "
                            "the same ID"));
}

void on_peer_failed(context& ctx, peer_failed const& event)
{
    auto const call = ctx.state.batch.forwarded.extract(event.correlation);
    if (call.empty())
    {
        return;
    }
    auto const& owner = call.mapped().owner;
    if (event.never_sent)
    {
        return answer(
            ctx, call.mapped().waiter,
            refused("daemon " + owner + " cannot be reached; try again"));
    }
    answer(ctx, call.mapped().waiter,
           make_reply(call_status::pending,
                      "answer of daemon " + owner
                          + " was lost; ask again with the same ID"));
}

} // namespace jaydrift::decide::batch
