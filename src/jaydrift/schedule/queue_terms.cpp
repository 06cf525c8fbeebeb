#include <jaydrift/schedule/queue_terms.hpp>

#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/selected_queue.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaydrift::schedule::queue_terms {

namespace {

/// Attempts at a task whose submission was stored without terms and whose queue
/// is not in the configuration.
constexpr std::uint32_t default_attempts = 3;

/// Returns the configured queue with this name; null if there is none.
queue const* queue_of(shard_context const& ctx, std::string_view name)
{
    if (!ctx.state.config)
    {
        return nullptr;
    }
    auto const& queues = ctx.state.config->queues;
    auto const found =
        std::find_if(queues.begin(), queues.end(),
                     [name](queue const& each) { return each.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

/// Applies the figures of a queue in a version of the configuration to terms
/// that it has given, unless they are from a newer version. What they promise
/// about time stays.
void apply(submission_terms& terms, queue const& configured,
           std::uint64_t version)
{
    if (version < terms.config_version)
    {
        return;
    }
    auto const before = terms;
    terms.service = configured.service;
    terms.priority = configured.priority;
    terms.max_attempts = configured.max_attempts;
    // Terms that do not change need not be stored again.
    if (terms != before)
    {
        terms.config_version = version;
    }
}

/// Returns the sum of the estimates on the longest chain of steps.
time_ms critical_path(submission const& work)
{
    std::vector<time_ms> finish(work.steps.size());
    time_ms longest;
    for (std::size_t i = 0; i < work.steps.size(); ++i)
    {
        time_ms start;
        for (auto const earlier : work.steps[i].after)
        {
            start = std::max(start, finish[earlier]);
        }
        finish[i] = start + work.steps[i].estimate;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

/// Returns the time from the acceptance to the objective of work.
time_ms time_allowed(submission const& work, time_ms latency_objective,
                     double slack_factor)
{
    auto const path_ms = static_cast<double>(critical_path(work).count());
    auto const slack =
        time_ms(static_cast<std::int64_t>(path_ms * slack_factor));
    return std::min(latency_objective + slack, limits::max_time);
}

/// Returns the terms of a record without any whose queue is gone. They have no
/// service.
submission_terms terms_without_queue(submission const& work)
{
    submission_terms result;
    result.max_attempts = default_attempts;
    result.time_allowed = time_allowed(work, time_ms(0), 1.0);
    return result;
}

} // namespace

submission_terms of(selected_queue const& selected, submission const& work)
{
    auto const& target = selected.target;
    return {target.service, target.priority, target.max_attempts,
            time_allowed(work, target.latency_objective, target.slack_factor),
            selected.config_version};
}

submission_terms of(shard_context& ctx, submission_record const& record)
{
    auto const* const configured = queue_of(ctx, record.queue);
    if (!configured && !record.terms)
    {
        ctx.log_work(log_level::error, "submission",
                     record.id + " waits for its queue " + record.queue
                         + ", which is not configured any more; an earlier"
                           " release has stored it without a service");
    }
    if (!record.terms)
    {
        return configured
                   ? of({ctx.state.config->version, *configured}, record.work)
                   : terms_without_queue(record.work);
    }
    auto result = *record.terms;
    if (configured)
    {
        apply(result, *configured, ctx.state.config->version);
    }
    return result;
}

void configuration_changed(shard_context& ctx)
{
    // An index, since a configuration may hold thousands of queues.
    std::unordered_map<std::string_view, queue const*> queues;
    for (auto const& each : ctx.state.config->queues)
    {
        queues.emplace(each.name, &each);
    }
    for (auto const& id : ctx.shard.active)
    {
        auto& submission = *submissions::find(ctx, id);
        auto const found = queues.find(submission.queue);
        if (found == queues.end())
        {
            continue;
        }
        auto const before = submission.terms;
        apply(submission.terms, *found->second, ctx.state.config->version);
        if (submission.terms != before)
        {
            record_log::changed(ctx, submission);
        }
    }
}

void store_new(shard_context& ctx)
{
    for (auto const& id : ctx.shard.active)
    {
        auto& submission = *submissions::find(ctx, id);
        if (submission.stored_terms != submission.terms)
        {
            record_log::changed(ctx, submission);
        }
    }
}

} // namespace jaydrift::schedule::queue_terms
