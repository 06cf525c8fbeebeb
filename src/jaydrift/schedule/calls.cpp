#include <jaydrift/schedule/calls.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::schedule::calls {

namespace {

/// A call waits so long for an owner before it is refused.
constexpr time_ms owner_wait{700};
constexpr time_ms forward_limit{1500};
constexpr time_ms retry_pause{50};
constexpr time_ms default_time_limit{3000};

/// Answers leave a little before the caller gives up.
constexpr time_ms answer_margin{150};

/// The store is too slow for new submissions if the record log has waited so
/// long for an answer.
constexpr time_ms stalled_log{600};

/// Bounds the memory of the owner; each submission takes a few KB.
constexpr std::size_t max_submissions = 20000;
constexpr std::size_t id_length = 16;

std::string_view name_of(answer::code result)
{
    static constexpr std::string_view names[] = {
        "ok",          "state",     "count",   "no_queue", "gone",
        "unavailable", "not_owner", "unknown", "moved"};
    return names[static_cast<std::size_t>(result)];
}

/// Names the owners that the call depended on, for the log.
std::string owners_of(context const& c, open_call const& call)
{
    std::string result;
    for (auto const& part : call.parts)
    {
        auto const& owner = c.s.shards[part.shard].owner;
        result += ", shard " + std::to_string(part.shard) + " of "
                  + owner.record.node + " at revision "
                  + std::to_string(owner.revision);
    }
    return result;
}

void finish(context& c, std::uint64_t call, answer reply)
{
    auto const found = c.s.calls.find(call);
    if (found == c.s.calls.end())
    {
        return;
    }
    auto const age = c.now - found->second.arrived;
    c.observe("call_ms", age);
    c.count("calls_answered_total", name_of(reply.result));
    if (reply.result == answer::code::unavailable
        || reply.result == answer::code::unknown)
    {
        c.log(log_level::info, "call",
              found->second.request.path + " answered "
                  + std::string(name_of(reply.result)) + " after "
                  + std::to_string(age.count()) + " ms"
                  + owners_of(c, found->second));
    }
    c.emit(answer_call{call, reply});
    c.s.calls.erase(found);
}

void finish(context& c, std::uint64_t call, answer::code result)
{
    finish(c, call, answer{result, {}, 0, 0});
}

call_part* part_of(open_call& call, std::uint32_t shard)
{
    auto const found = std::find_if(
        call.parts.begin(), call.parts.end(),
        [shard](call_part const& each) { return each.shard == shard; });
    return found == call.parts.end() ? nullptr : &*found;
}

/// Takes the answer of one shard. Counts are added up when all have answered.
void finish_part(context& c, std::uint64_t number, std::uint32_t shard,
                 answer reply)
{
    auto& call = c.s.calls.at(number);
    if (call.parts.size() == 1 || reply.result != answer::code::count)
    {
        finish(c, number, reply);
        return;
    }
    part_of(call, shard)->reply = reply;
    answer sum{answer::code::count, {}, 0, 0};
    for (auto const& part : call.parts)
    {
        if (!part.reply)
        {
            return;
        }
        sum.pending += part.reply->pending;
    }
    finish(c, number, sum);
}

/// Returns the queue with the longest prefix of the path.
queue const* route(context const& c, call_arrived const& request)
{
    queue const* best = nullptr;
    for (auto const& each : c.s.config->queues)
    {
        if (each.host == request.host && request.path.starts_with(each.prefix)
            && (!best || each.prefix.size() > best->prefix.size()))
        {
            best = &each;
        }
    }
    return best;
}

bool is_id(std::string_view text)
{
    return text.size() == id_length
           && std::all_of(text.begin(), text.end(), [](char each) {
                  return (each >= '0' && each <= '9')
                         || (each >= 'a' && each <= 'f')
                         || (each >= 'A' && each <= 'F');
              });
}

std::uint64_t pending_count(shard_context& c, queue const& asked)
{
    std::uint64_t count = 0;
    for (auto const& id : c.shard.active)
    {
        auto const& item = *submissions::find(c, id);
        count += item.queue == asked.name && item.record_stored && !item.started
                     ? 1
                     : 0;
    }
    return count;
}

void wait_for_log(shard_context& c, std::uint64_t call)
{
    part_of(c.s.calls.at(call), c.shard.number)->with_log = true;
}

void wait_for_log(shard_context& c, std::uint64_t call, submission_state& item)
{
    wait_for_log(c, call);
    item.waiters.emplace_back(call, item.version);
}

bool overloaded(shard_context const& c)
{
    auto const& log = c.shard.log;
    return (log.in_flight && c.now - log.first_sent >= stalled_log)
           || c.shard.submissions.size() >= max_submissions;
}

void submit(shard_context& c, std::uint64_t call, queue const& target,
            std::string const& id)
{
    if (auto* const known = submissions::find(c, id))
    {
        if (known->record_stored)
        {
            finish(c, call, answer::code::ok);
        }
        else
        {
            wait_for_log(c, call, *known);
        }
        return;
    }
    if (auto const moved = c.shard.relocations.find(id);
        moved != c.shard.relocations.end())
    {
        if (moved->second.stored)
        {
            relocated(c, call, moved->second.record.to);
            return;
        }
        wait_for_log(c, call);
        moved->second.waiters.push_back(call);
        return;
    }
    if (overloaded(c) || c.s.stopping_since)
    {
        c.count("submissions_refused_total", "overloaded");
        c.log(log_level::info, "call",
              id + " refused, the store has not answered for "
                  + std::to_string((c.now - c.shard.log.first_sent).count())
                  + " ms");
        finish(c, call, answer::code::unavailable);
        return;
    }
    auto const& work = *c.s.calls.at(call).request.work;
    if (relocation::wanted(c, id, target.service, work))
    {
        wait_for_log(c, call);
        relocation::relocate(c, call, id, work);
        return;
    }
    auto& item = submissions::add(c, {id, target.name, c.wall(), work});
    relocation::accepted(c, work);
    record_log::changed_urgently(c, item);
    wait_for_log(c, call, item);
    c.log(log_level::info, "call",
          id + " arrived in queue " + target.name + ", "
              + std::to_string(c.shard.active.size()) + " active");
}

/// The submission may belong to its second shard.
void not_here(shard_context& c, std::uint64_t call, std::string const& id)
{
    auto const second = layout::second_shard_of(id, c.s.shards.size());
    if (second != c.shard.number
        && layout::shard_of(id, c.s.shards.size()) == c.shard.number)
    {
        relocated(c, call, second);
        return;
    }
    finish(c, call, answer::code::gone);
}

void show(shard_context& c, std::uint64_t call, std::string const& id)
{
    auto const* const item = submissions::find(c, id);
    if (!item || !item->record_stored)
    {
        not_here(c, call, id);
        return;
    }
    auto const phase = ended(item->phase) && !ended(item->stored_phase)
                           ? submission_phase::running
                       : ended(item->phase) ? item->stored_phase
                       : item->started      ? submission_phase::running
                                            : submission_phase::queued;
    finish(c, call, answer{answer::code::state, phase, 0, 0});
}

void cancel(shard_context& c, std::uint64_t call, std::string const& id)
{
    auto* const item = submissions::find(c, id);
    if (!item)
    {
        not_here(c, call, id);
        return;
    }
    if (!ended(item->phase))
    {
        submissions::cancel(c, *item);
    }
    if (item->stored_version >= item->version)
    {
        finish(c, call, answer::code::ok);
        return;
    }
    wait_for_log(c, call, *item);
}

void serve(shard_context& c, std::uint64_t call)
{
    auto const& request = c.s.calls.at(call).request;
    auto const* const target = route(c, request);
    if (!target)
    {
        // The other daemon has a newer configuration, or an older one.
        finish(c, call, answer::code::unavailable);
        return;
    }
    auto const id = request.path.substr(target->prefix.size());
    if (id.empty())
    {
        finish_part(
            c, call, c.shard.number,
            answer{answer::code::count, {}, pending_count(c, *target), 0});
        return;
    }
    switch (request.verb)
    {
    case call_verb::submit:
        return submit(c, call, *target, id);
    case call_verb::show:
        return show(c, call, id);
    case call_verb::cancel:
        return cancel(c, call, id);
    }
}

time_ms due(open_call const& call)
{
    return call.arrived + call.request.time_limit - answer_margin;
}

/// Serves a part of a call here, forwards it, or leaves it waiting for an
/// owner.
void proceed(context& c, std::uint64_t number, std::uint32_t shard)
{
    auto& call = c.s.calls.at(number);
    auto& part = *part_of(call, shard);
    auto const& owner = c.s.shards[shard].owner;
    if (owner.role == owner_role::owner)
    {
        shard_context here(c, c.s.shards[shard]);
        serve(here, number);
        return;
    }
    if (call.request.forwarded_to && owner.role == owner_role::follower)
    {
        finish(c, number, answer::code::not_owner);
        return;
    }
    if (owner.role == owner_role::follower && owner.revision != 0
        && !owner.queried_at && owner.record.node != c.s.options.node)
    {
        part.with_peer = true;
        auto const left = due(call) - c.now;
        c.emit(forward_call{number, shard, owner.record.address,
                            std::min(forward_limit, left)});
        return;
    }
    part.retry_at = c.now + retry_pause;
}

void give_up(context& c, std::uint64_t number, open_call const& call,
             call_part const& part)
{
    auto const submits = call.request.verb == call_verb::submit;
    auto const result = part.maybe_done && submits ? answer::code::unknown
                                                   : answer::code::unavailable;
    finish(c, number, result);
}

/// Looks whether a part of a call is due. The call may end.
void check(context& c, std::uint64_t number, std::uint32_t shard)
{
    auto const found = c.s.calls.find(number);
    if (found == c.s.calls.end())
    {
        return;
    }
    auto const& call = found->second;
    auto const& part = *part_of(found->second, shard);
    if (part.reply)
    {
        return;
    }
    if (part.with_log || part.with_peer)
    {
        if (c.now >= due(call))
        {
            finish(c, number, answer::code::unknown);
        }
        return;
    }
    auto const patience = part.maybe_done ? forward_limit : owner_wait;
    if (c.now - call.arrived >= patience || c.now >= due(call))
    {
        give_up(c, number, call, part);
    }
    else if (c.now >= part.retry_at)
    {
        proceed(c, number, shard);
    }
}

/// Returns the shards that a call concerns: that of the submission, or all for
/// a count.
std::vector<call_part> parts_of(context const& c, call_arrived const& request,
                                std::string_view id)
{
    std::vector<call_part> result;
    if (request.forwarded_to)
    {
        result.emplace_back().shard = *request.forwarded_to;
    }
    else if (!id.empty())
    {
        result.emplace_back().shard = layout::shard_of(id, c.s.shards.size());
    }
    else
    {
        for (auto const& shard : c.s.shards)
        {
            result.emplace_back().shard = shard.number;
        }
    }
    return result;
}

} // namespace

void arrived(context& c, call_arrived const& request)
{
    auto& call = c.s.calls[request.call];
    call.request = request;
    call.arrived = c.now;
    if (call.request.time_limit <= time_ms(0))
    {
        call.request.time_limit = default_time_limit;
    }
    auto const to = request.forwarded_to;
    if (!c.s.config || c.s.shards.empty() || (to && *to >= c.s.shards.size()))
    {
        finish(c, request.call, answer::code::unavailable);
        return;
    }
    auto const* const target = route(c, request);
    auto const id =
        target ? std::string_view(request.path).substr(target->prefix.size())
               : std::string_view();
    if (!to && (!target || !(is_id(id) || (id.empty() && !request.work))))
    {
        finish(c, request.call, answer::code::no_queue);
        return;
    }
    call.parts = parts_of(c, request, id);
    for (auto const& part : std::vector<call_part>(call.parts))
    {
        if (c.s.calls.contains(request.call))
        {
            proceed(c, request.call, part.shard);
        }
    }
}

void forwarded(context& c, forward_replied const& reply)
{
    auto const found = c.s.calls.find(reply.call);
    if (found == c.s.calls.end())
    {
        return;
    }
    auto& part = *part_of(found->second, reply.shard);
    part.with_peer = false;
    if (reply.reply.result == answer::code::not_owner)
    {
        part.retry_at = c.now + retry_pause;
        return;
    }
    if (reply.reply.result == answer::code::moved
        && reply.reply.shard < c.s.shards.size())
    {
        part.shard = reply.reply.shard;
        proceed(c, reply.call, part.shard);
        return;
    }
    if (reply.reply.result == answer::code::unknown)
    {
        part.maybe_done = true;
        part.retry_at = c.now + retry_pause;
        return;
    }
    if (reply.reply.result == answer::code::unavailable && part.maybe_done
        && found->second.request.verb == call_verb::submit)
    {
        finish(c, reply.call, answer::code::unknown);
        return;
    }
    finish_part(c, reply.call, reply.shard, reply.reply);
}

void stored(shard_context& c, std::uint64_t call)
{
    finish(c, call, answer::code::ok);
}

void relocated(shard_context& c, std::uint64_t number, std::uint32_t to)
{
    auto const found = c.s.calls.find(number);
    if (found == c.s.calls.end())
    {
        return;
    }
    if (found->second.request.forwarded_to)
    {
        finish(c, number, answer{answer::code::moved, {}, 0, to});
        return;
    }
    auto& part = *part_of(found->second, c.shard.number);
    part.with_log = false;
    part.shard = to;
    proceed(c, number, to);
}

void log_abandoned(shard_context& c)
{
    std::vector<std::uint64_t> waiting;
    for (auto& [number, call] : c.s.calls)
    {
        auto const* const part = part_of(call, c.shard.number);
        if (part && part->with_log)
        {
            waiting.push_back(number);
        }
    }
    for (auto const number : waiting)
    {
        auto& call = c.s.calls.at(number);
        if (call.request.forwarded_to)
        {
            finish(c, number, answer::code::unknown);
            continue;
        }
        // The same ID joins at the new owner.
        auto& part = *part_of(call, c.shard.number);
        part.with_log = false;
        part.maybe_done = true;
        part.retry_at = c.now + retry_pause;
    }
}

void answer_all(context& c)
{
    std::vector<std::pair<std::uint64_t, bool>> open;
    for (auto const& [number, call] : c.s.calls)
    {
        auto const maybe_done = std::any_of(
            call.parts.begin(), call.parts.end(), [](call_part const& part) {
                return part.maybe_done || part.with_log || part.with_peer;
            });
        open.emplace_back(number, maybe_done);
    }
    for (auto const& [number, maybe_done] : open)
    {
        finish(c, number,
               maybe_done ? answer::code::unknown : answer::code::unavailable);
    }
}

void tick(context& c)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> open;
    for (auto const& [number, call] : c.s.calls)
    {
        for (auto const& part : call.parts)
        {
            open.emplace_back(number, part.shard);
        }
    }
    for (auto const& [number, shard] : open)
    {
        check(c, number, shard);
    }
}

} // namespace jaydrift::schedule::calls
