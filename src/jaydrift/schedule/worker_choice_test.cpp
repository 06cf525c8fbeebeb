#include <jaydrift/schedule/worker_choice.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/interference_record.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/usable_workers.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::array<char const*, 5> serving_images{"s0", "s1", "s2", "s3",
                                                    "s4"};
constexpr std::array<char const*, 3> neighbour_images{"n0", "n1", "n2"};

template<class Range>
auto const& any_of(Range const& range, random_source& random)
{
    return range[random.below(range.size())];
}

std::int64_t between(random_source& random, std::int64_t low, std::int64_t high)
{
    return low
           + static_cast<std::int64_t>(
               random.below(static_cast<std::uint64_t>(high - low + 1)));
}

/// Returns the choice as the comments of `wait_reason` and of the constants in
/// worker_choice.cpp describe it: asks each worker in full and in the order of
/// the checks. Leaves the workers as they are.
class reference_choice
{
public:
    reference_choice(shard_context& ctx, placement_request const& request)
        : ctx_(ctx), request_(request)
    {
        for (auto& [id, worker] : ctx.shard.workers)
        {
            auto copy = worker;
            refusal_ = wait_reason::not_tried;
            auto const value = score(copy);
            if (refusal_ != wait_reason::not_tried)
            {
                result.refusal = std::max(result.refusal, refusal_);
            }
            else if (!result.worker || value > best_)
            {
                result.worker = &worker;
                best_ = value;
            }
        }
    }

    chosen_worker result;

private:
    double refuse(wait_reason reason)
    {
        refusal_ = reason;
        return 0.0;
    }

    double score(worker_state& worker)
    {
        auto const& spec = request_.spec;
        if (!workers::matches_step(worker.entry, request_.service, spec))
        {
            return refuse(wait_reason::no_worker);
        }
        if (!workers::usable(ctx_, worker))
        {
            return refuse(wait_reason::no_usable_worker);
        }
        auto const& kept_for = worker.kept_for;
        if (!spec.opportunistic && kept_for
            && (kept_for->submission != request_.id.submission
                || kept_for->occurrence != request_.id.occurrence
                || kept_for->step != request_.id.step))
        {
            return refuse(wait_reason::kept_free);
        }
        auto const free = worker.entry.capacity - worker.used;
        if (spec.demand.memory_mb > free.memory_mb
            || spec.demand.accelerators > free.accelerators)
        {
            return refuse(wait_reason::memory);
        }
        if (spec.opportunistic ? free.millicores < 0
                               : spec.demand.millicores > free.millicores)
        {
            return refuse(wait_reason::processors);
        }
        auto const of_step = std::count_if(
            worker.runs.begin(), worker.runs.end(), [this](auto const& each) {
                return each.first.task.submission == request_.id.submission
                       && each.first.task.occurrence == request_.id.occurrence
                       && each.first.task.step == request_.id.step;
            });
        if (spec.max_per_worker > 0
            && of_step >= std::int64_t{spec.max_per_worker})
        {
            return refuse(wait_reason::step_limit);
        }
        auto value = spec.opportunistic ? opportunistic_score(worker)
                                        : firm_score(worker, free);
        auto const& labels = worker.entry.labels;
        if (!request_.rack.empty()
            && std::find(labels.begin(), labels.end(), request_.rack)
                   != labels.end())
        {
            value += 4.0;
        }
        return worker.entry.id == request_.failed_on ? value - 2.0 : value;
    }

    double opportunistic_score(worker_state& worker)
    {
        auto const& spec = request_.spec;
        auto const capacity =
            static_cast<double>(worker.entry.capacity.millicores);
        auto const others =
            worker.used.millicores - worker.long_running_millicores;
        auto const leftover =
            (static_cast<double>(worker.entry.capacity.millicores - others
                                 - worker.opportunistic_millicores)
             - 0.6 * static_cast<double>(worker.long_running_millicores))
            / capacity;
        auto const share =
            static_cast<double>(spec.demand.millicores) / capacity;
        auto const full = request_.pace_limit == full_pace;
        if (full && leftover < 0.5 * share)
        {
            return refuse(wait_reason::leftover);
        }
        auto const& model = ctx_.shard.interference;
        interference::prepare(model, worker);
        auto tail = 0.0;
        for (auto const& each : worker.serving_images)
        {
            auto const growth =
                interference::weight(model, each.image, spec.image)
                * (share * request_.pace_limit / full_pace);
            tail = std::max(tail, each.relative_tail * std::exp(growth));
        }
        if (full && tail > request_.tolerance)
        {
            return refuse(wait_reason::tail);
        }
        return leftover - tail;
    }

    double firm_score(worker_state const& worker, resources const& free)
    {
        auto const& spec = request_.spec;
        auto const after =
            static_cast<double>(free.millicores - spec.demand.millicores)
            / static_cast<double>(worker.entry.capacity.millicores);
        if (!spec.long_running)
        {
            return 1.0 - after;
        }
        if (after < 0.08 && ctx_.now - request_.waiting_since < time_ms(1000))
        {
            return refuse(wait_reason::urgent_reserve);
        }
        auto same = 0;
        auto others = 0;
        for (auto const& [id, run] : worker.runs)
        {
            same += run.long_running && run.image == spec.image ? 1 : 0;
            others += run.long_running && run.image != spec.image ? 1 : 0;
        }
        return same + others == 0
                   ? after
                   : after
                         + 2.0
                               * (static_cast<double>(same - others)
                                  / (same + others));
    }

    shard_context& ctx_;
    placement_request const& request_;
    double best_ = 0.0;
    wait_reason refusal_ = wait_reason::not_tried;
};

/// Adds a worker, or changes whether a known one is usable.
void update_worker(shard_context& ctx, std::uint64_t number,
                   random_source& random)
{
    auto const id = "w" + std::to_string(number);
    auto& worker = ctx.shard.workers[id];
    if (worker.entry.id.empty())
    {
        worker.entry.id = id;
        worker.entry.service = number % 5 == 4 ? "other" : "svc";
        worker.entry.zone = random.below(6) == 0 ? "closed" : "open";
        worker.entry.capacity = {between(random, 4, 12) * 1000,
                                 between(random, 4, 12) * 1000,
                                 between(random, 0, 1)};
        worker.entry.labels = {random.below(2) == 0 ? "k1" : "k2",
                               random.below(2) == 0 ? "r1" : "r2"};
        worker.in_fleet_record = true;
    }
    worker.fenced = random.below(8) > 0;
    worker.unanswered_orders = random.below(8) == 0 ? 1 : 0;
    worker.serving_images_valid =
        worker.serving_images_valid && random.below(2) == 0;
}

step_spec random_step(random_source& random)
{
    step_spec spec;
    spec.demand = {between(random, 1, 8) * 500, between(random, 1, 8) * 250,
                   random.below(8) == 0 ? 1 : 0};
    auto const kind = random.below(6);
    spec.long_running = kind < 2;
    spec.opportunistic = kind == 2 || kind == 3;
    spec.image = spec.long_running ? any_of(serving_images, random)
                                   : any_of(neighbour_images, random);
    spec.latency_target = time_ms(spec.long_running ? 100 : 0);
    spec.max_per_worker = random.below(4) == 0 ? 1 : 0;
    if (random.below(4) == 0)
    {
        spec.required_label = random.below(2) == 0 ? "k1" : "r2";
    }
    return spec;
}

/// Lets the model learn the weights of one serving image.
void learn_image(shard_context& ctx, random_source& random)
{
    interference_record record;
    auto& weights = record.by_serving_image[any_of(serving_images, random)];
    for (auto const* const each : neighbour_images)
    {
        weights[each] = {static_cast<double>(between(random, 0, 40)) / 10.0,
                         1.0};
    }
    interference::restore(ctx.shard.interference, record);
}

/// Places random tasks in some passes. Returns how many choices differ from
/// those of the reference.
int count_other_choices(std::uint64_t seed)
{
    random_source random(seed);
    daemon_state state;
    state.closed_zones.insert("closed");
    state.shards.resize(1);
    effect_list effects;
    shard_context ctx(context{state, time_ms(5000), effects}, state.shards[0]);
    std::deque<step_spec> steps;
    auto differing = 0;
    for (auto pass = 0; pass < 4; ++pass)
    {
        for (std::uint64_t i = 0; i < 12; ++i)
        {
            update_worker(ctx, i, random);
        }
        learn_image(ctx, random);
        usable_workers usable(ctx);
        for (auto i = 0; i < 40; ++i)
        {
            steps.push_back(random_step(random));
            auto const step = static_cast<std::uint32_t>(
                random.below(3) > 0 ? steps.size() - 1
                                    : random.below(steps.size()));
            auto const& spec = steps[step];
            auto const index = static_cast<std::uint32_t>(pass * 40 + i);
            auto const failed_on = "w" + std::to_string(random.below(12));
            placement_request request{
                {id_of(1), 0, step, index},
                spec,
                random.below(5) == 0 ? "other" : "svc",
                failed_on,
                time_ms(between(random, 3500, 5000)),
                random.below(2) == 0 ? "r1" : "",
                static_cast<double>(between(random, 60, 90)) / 100.0};
            request.pace_limit =
                random.below(4) == 0 ? minimum_pace : full_pace;
            auto const expected = reference_choice(ctx, request).result;
            auto const choice =
                worker_choice::choose(ctx, request, usable.of(request));
            differing += choice.worker != expected.worker
                                 || (!choice.worker
                                     && choice.refusal != expected.refusal)
                             ? 1
                             : 0;
            if (!choice.worker)
            {
                continue;
            }
            submission_state submission;
            submission.work.steps = {spec};
            auto run = workers::reservation(submission, 0);
            run.pace_limit = request.pace_limit;
            run.load = spec.long_running ? between(random, 0, 90) : 0;
            workers::add_run(*choice.worker, {request.id, 1}, run);
            if (random.below(4) == 0)
            {
                workers::remove_run(*choice.worker, {request.id, 1});
            }
            if (random.below(10) == 0)
            {
                auto const kept_step =
                    static_cast<std::uint32_t>(random.below(steps.size()));
                choice.worker->kept_for = task_id{id_of(1), 0, kept_step, 0};
            }
        }
    }
    return differing;
}

} // namespace

// Guards against a choice from what a pass knows already that differs from one
// that asks each worker in full, such as by the weights of another image.
RC_GTEST_PROP(worker_choice, is_the_same_as_that_of_the_reference,
              (std::uint64_t seed))
{
    RC_ASSERT(count_other_choices(seed) == 0);
}

} // namespace jaydrift::schedule::testing
