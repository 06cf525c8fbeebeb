#include <jaydrift/schedule/queue_terms.hpp>

#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/record_log.hpp>
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

/// Applies the present figures of a queue to terms that it has given. What they
/// promise about time stays.
void apply(submission_terms& terms, queue const& configured)
{
    terms.service = configured.service;
    terms.priority = configured.priority;
    terms.max_attempts = configured.max_attempts;
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

/// Returns the terms of new work in a queue; those of a record without terms
/// whose queue is gone have no service.
submission_terms terms_of(queue const* configured, submission const& work)
{
    submission_terms result;
    result.max_attempts = default_attempts;
    auto factor = 1.0;
    if (configured)
    {
        apply(result, *configured);
        factor = configured->slack_factor;
        result.time_allowed = configured->latency_objective;
    }
    auto const path_ms = static_cast<double>(critical_path(work).count());
    result.time_allowed += time_ms(static_cast<std::int64_t>(path_ms * factor));
    result.time_allowed = std::min(result.time_allowed, limits::max_time);
    return result;
}

} // namespace

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
    auto result =
        record.terms ? *record.terms : terms_of(configured, record.work);
    if (configured)
    {
        apply(result, *configured);
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
        apply(submission.terms, *found->second);
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
