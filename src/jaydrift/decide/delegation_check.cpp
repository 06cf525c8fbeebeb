#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <utility>
#include <variant>

// A delegated request leaves no trace on the workers of its home region, so a
// new owner cannot learn of it from their inventories. Before it runs an ID
// that may be older than its ownership, it asks the other region, which then
// either knows the ID or never runs it.

namespace jaydrift::decide::requests {

namespace {

time_ms last_deadline(request_entry const& entry)
{
    time_ms latest;
    for (auto const& waiter : entry.waiters)
    {
        latest = std::max(latest, waiter.deadline);
    }
    return latest;
}

/// Tells whether a shard's records may lack IDs that its workers ran.
bool records_incomplete(context const& step, shard_id const& shard)
{
    auto const acquired = ownership::acquired_at(step.state, shard);
    return step.now < acquired + step.state.settings.request_retention
           && !ownership::request_inventory_complete(step.state, shard);
}

/// Makes sure that a delegated request that is still on its way finds a record
/// and does not run.
void withdraw(context& step, request_key const& key)
{
    auto& requests = step.state.requests;
    auto& entry = requests.shards[key.shard].entries[key.id];
    ++requests.entry_count;
    entry.request.id = key.id;
    entry.arrived = step.now;
    entry.delegated_to_us = true;
    entry.withdrawn = true;
    entry.phase = request_phase::unresolved;
    finish(step, key, unknown("another owner of the request withdrew it"));
}

} // namespace

bool check_needed(context const& step, request_key const& key,
                  urgent_request const& request)
{
    auto const& settings = step.state.settings;
    auto const acquired = ownership::acquired_at(step.state, key.shard);
    auto const newer = request.issued_at
                       && *request.issued_at > acquired + settings.clock_skew;
    // The first epoch has no earlier owner.
    return !newer && step.now < acquired + settings.request_retention
           && ownership::term(step.state, key.shard).epoch > 1
           && delegate_shard(step.state, request.home_region, key.id);
}

void check_delegation(context& step, request_key const& key)
{
    auto* entry = find_entry(step.state, key);
    entry->phase = request_phase::checking;
    entry->check_needed = true;
    auto const shard =
        delegate_shard(step.state, entry->request.home_region, key.id);
    urgent_request question;
    question.id = key.id;
    request_waiter link{waiting_record{key}, step.now, last_deadline(*entry)};
    auto const number = forward(step, std::move(question), *shard,
                                forward_purpose::ask, std::move(link));
    // The check may have been answered already.
    entry = find_entry(step.state, key);
    if (entry != nullptr && entry->phase == request_phase::checking)
    {
        entry->forward = number;
    }
}

void on_checked(context& step, request_key const& key, peer_reply const& reply)
{
    auto* entry = find_entry(step.state, key);
    if (entry == nullptr || entry->phase != request_phase::checking)
    {
        return;
    }
    entry->forward = 0;
    entry->check_needed = false;
    auto const* result = std::get_if<request_result>(&reply);
    if (result == nullptr)
    {
        admit(step, key);
        return;
    }
    if (result->outcome == request_outcome::unknown)
    {
        // It may run there now; the call joins it.
        delegate(step, key);
        return;
    }
    finish(step, key, *result);
}

peer_reply answer_check(context& step, request_key const& key)
{
    auto const* entry = find_entry(step.state, key);
    if (entry != nullptr && !entry->withdrawn)
    {
        return entry->phase == request_phase::done
                   ? entry->result
                   : unknown("the request has no result yet");
    }
    if (entry == nullptr && records_incomplete(step, key.shard))
    {
        return unknown("an earlier owner may have run it");
    }
    if (entry == nullptr)
    {
        withdraw(step, key);
    }
    return peer_acknowledgement{true};
}

void on_query(context& step, peer_called const& call,
              query_request const& request)
{
    // The asking daemon owns the ID in its home region, so of the shards that
    // the ID belongs to in the other regions, one at most is served here.
    for (auto const& region : step.state.settings.regions)
    {
        request_key const key{
            ownership::shard_of_key(step.state, region, request.request),
            request.request};
        if (ownership::serving(step.state, key.shard, step.now))
        {
            step.emit(answer_peer{call.call, answer_check(step, key)});
            return;
        }
    }
    step.emit(answer_peer{call.call, peer_acknowledgement{false}});
}

} // namespace jaydrift::decide::requests
