#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/record_writes.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::voters {

namespace {

// Time between two checks of the voters.
constexpr time_ms check_interval{2000};

// A voter that has not replied for this long is replaced.
constexpr time_ms silence_limit{10000};

/// Returns the workers that may be voters of the next generation: the fenced
/// ones, and present voters that are silent for less than `silence_limit`, or
/// for any time if `keep_silent` is set.
std::vector<vm_info> candidates(context& ctx, term_state const& term,
                                bool keep_silent)
{
    std::vector<vm_info> result;
    for (auto const& [name, link] : term.links)
    {
        auto const* vm = workers::find(ctx.state, name);
        bool const silent = ctx.now - link.answered_at >= silence_limit;
        bool const eligible =
            link.fenced || (is_voter(term, name) && (!silent || keep_silent));
        if (vm != nullptr && vm->state == vm_state::live && link.listed
            && link.state_lost_generation < term.record.generation && eligible)
        {
            result.push_back(*vm);
        }
    }
    return result;
}

/// Returns the voters of the next generation; the current ones if nothing is to
/// change. Silent voters are kept if there would be fewer voters without them.
/// A whole new set is chosen if it is spread better over the zones.
std::vector<std::string> next_voters(context& ctx, term_state const& term)
{
    auto const limit = ctx.state.settings.voters_per_shard;
    auto const& current = term.record.voters;
    auto usable = candidates(ctx, term, false);
    auto next = choose(usable, current, limit);
    if (next.size() < current.size())
    {
        usable = candidates(ctx, term, true);
        next = choose(usable, current, limit);
    }
    auto new_set = choose(usable, {}, limit);
    if (new_set.size() >= next.size()
        && largest_zone_count(usable, new_set)
               < largest_zone_count(usable, next))
    {
        return new_set;
    }
    return next;
}

bool same_names(std::vector<std::string> left, std::vector<std::string> right)
{
    std::sort(left.begin(), left.end());
    std::sort(right.begin(), right.end());
    return left == right;
}

void begin_replacement(context& ctx, shard_view& view)
{
    auto const& term = *view.own_term;
    auto next = next_voters(ctx, term);
    if (next.empty() || same_names(next, term.record.voters))
    {
        return;
    }
    auto record = term.record;
    ++record.generation;
    record.previous_voters = record.voters;
    record.voters = std::move(next);
    ctx.log(log_level::info, "ownership",
            "Replacing voters of shard " + to_string(view.shard) + '.');
    record_writes::start(ctx, view, record);
}

} // namespace

void advance(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    auto const& stored = view.record;
    if (term.phase != shard_phase::serving || view.write
        || stored.epoch != term.record.epoch
        || stored.owner != term.record.owner
        || stored.generation != term.record.generation
        || !membership::store_available(ctx.state, ctx.now))
    {
        return;
    }
    if (!term.record.previous_voters.empty())
    {
        if (term.acknowledged_generation == term.record.generation)
        {
            auto record = term.record;
            record.previous_voters.clear();
            record_writes::start(ctx, view, record);
        }
        return;
    }
    if (ctx.now - term.voters_checked_at >= check_interval)
    {
        term.voters_checked_at = ctx.now;
        begin_replacement(ctx, view);
    }
}

} // namespace jaydrift::decide::voters
