#include <jaydrift/schedule/interference.hpp>

#include <jaydrift/schedule/interference_record.hpp>
#include <jaydrift/schedule/neighbour_weights.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace jaydrift::schedule::interference {

namespace {

/// Weight of a pair of images that was never seen together: a task that uses a
/// tenth of a worker is expected to raise the tail latency by a fifth.
constexpr double unknown_weight = 2.0;

/// At this interval, samples are made to count less, by this factor. After a
/// minute, a sample counts for a sixth.
constexpr time_ms decay_interval{1000};
constexpr double kept_per_decay = 0.97;

/// Bounds the model; a deployment has a few dozen images.
constexpr std::size_t max_images = 64;

/// Share of their declared processors that tasks use, until a report tells.
constexpr double declared_use = 0.75;

/// Returns whether the run is at work and has reported a tail latency.
bool is_serving(run_state const& run)
{
    constexpr std::uint32_t at_work = 100;
    return run.latency_target > time_ms(0) && run.phase == run_phase::running
           && run.progress_percent == at_work && run.load > 0;
}

/// Returns the share of the worker that opportunistic runs use.
linear_model::inputs opportunistic_use_by_image(worker_state const& worker)
{
    linear_model::inputs result;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.opportunistic)
        {
            result[run.image] += used_share(worker, run);
        }
    }
    return result;
}

/// Returns the changes between two reports, without those of 0.
linear_model::inputs difference(linear_model::inputs after,
                                linear_model::inputs const& before)
{
    for (auto const& [image, value] : before)
    {
        after[image] -= value;
    }
    std::erase_if(after, [](auto const& each) { return each.second == 0.0; });
    return after;
}

/// Returns the index of the model of a serving image, nothing if there is none.
std::optional<std::size_t> index_of(interference_model const& model,
                                    std::string_view serving)
{
    auto const found = model.indexes.find(serving);
    return found == model.indexes.end() ? std::nullopt
                                        : std::optional(found->second);
}

/// Returns the model of a serving image; null if it is new and there are as
/// many as allowed.
linear_model* find_or_add(interference_model& model, std::string const& serving)
{
    if (auto const known = index_of(model, serving))
    {
        return &model.models[*known];
    }
    if (model.models.size() >= max_images)
    {
        return nullptr;
    }
    model.indexes.emplace(serving, model.models.size());
    return &model.models.emplace_back(unknown_weight);
}

/// Adds a sample: the change of a serving task's tail latency and that of its
/// neighbours' use since the last report.
void learn_task(interference_model& model, run_state& serving,
                linear_model::inputs const& change)
{
    auto const tail = std::log(static_cast<double>(serving.load));
    auto const before = std::exchange(serving.last_log_tail, tail);
    if (!before || change.empty())
    {
        return;
    }
    if (auto* const known = find_or_add(model, serving.image))
    {
        known->add(change, tail - *before);
    }
}

/// Returns the growth of the logarithm of a tail latency that is expected from
/// neighbours that started since the last report.
double unreported_growth(interference_model const& model,
                         worker_state const& worker, std::string_view serving)
{
    auto growth = 0.0;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.opportunistic && run.load == 0 && run.pace_percent > 0)
        {
            growth +=
                weight(model, serving, run.image) * used_share(worker, run);
        }
    }
    return growth;
}

/// Computes the largest relative tail latency of each serving image.
void update_serving_images(interference_model const& model,
                           worker_state& worker)
{
    worker.serving_images.clear();
    worker.serving_images_valid = true;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.latency_target == time_ms(0))
        {
            continue;
        }
        auto const& image = run.image;
        auto const load =
            static_cast<double>(std::max<std::int64_t>(1, run.load));
        auto const tail =
            load / static_cast<double>(run.latency_target.count());
        auto const known = std::find_if(
            worker.serving_images.begin(), worker.serving_images.end(),
            [&image](auto const& each) { return each.image == image; });
        if (known != worker.serving_images.end())
        {
            known->relative_tail = std::max(known->relative_tail, tail);
            continue;
        }
        worker.serving_images.push_back({image, tail, index_of(model, image)});
    }
    for (auto& each : worker.serving_images)
    {
        each.relative_tail *=
            std::exp(unreported_growth(model, worker, each.image));
    }
}

} // namespace

void learn(shard_context& ctx, worker_state& worker)
{
    auto& model = ctx.shard.interference;
    if (ctx.now - model.decayed_at >= decay_interval)
    {
        model.decayed_at = ctx.now;
        for (auto& each : model.models)
        {
            each.decay_and_solve(kept_per_decay);
        }
    }
    auto use = opportunistic_use_by_image(worker);
    auto const change = difference(use, worker.last_opportunistic_use);
    worker.last_opportunistic_use = std::move(use);
    for (auto& [id, run] : worker.runs)
    {
        if (is_serving(run))
        {
            learn_task(model, run, change);
        }
        else
        {
            run.last_log_tail.reset();
        }
    }
}

interference_record to_record(interference_model const& model)
{
    interference_record result;
    for (auto const& [image, index] : model.indexes)
    {
        result.by_serving_image.emplace(image,
                                        model.models[index].learned_weights());
    }
    return result;
}

void restore(interference_model& model, interference_record const& record)
{
    for (auto const& [image, weights] : record.by_serving_image)
    {
        auto* const each = find_or_add(model, image);
        if (!each)
        {
            return;
        }
        for (auto const& [neighbour, known] : weights)
        {
            each->restore(neighbour, known);
        }
    }
}

double weight(interference_model const& model, std::string_view serving,
              std::string_view neighbour)
{
    auto const known = index_of(model, serving);
    return known ? model.models[*known].weight(neighbour) : unknown_weight;
}

double used_share(worker_state const& worker, run_state const& run)
{
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.millicores));
    auto const pace = std::min(run.pace_percent, run.pace_limit);
    auto const millicores =
        run.load > 0 || pace == 0
            ? static_cast<double>(run.load)
            : declared_use * static_cast<double>(run.demand.millicores) * pace
                  / full_pace;
    return millicores / capacity;
}

void prepare(interference_model const& model, worker_state& worker)
{
    if (!worker.serving_images_valid)
    {
        update_serving_images(model, worker);
    }
}

double expected_tail(neighbour_weights const& weights,
                     worker_state const& worker, double share, double limit)
{
    auto worst = 0.0;
    for (auto const& each : worker.serving_images)
    {
        // The growth is never negative.
        worst = std::max(worst, each.relative_tail > limit
                                    ? each.relative_tail
                                    : each.relative_tail
                                          * std::exp(weights.of(each) * share));
        if (worst > limit)
        {
            break;
        }
    }
    return worst;
}

} // namespace jaydrift::schedule::interference
