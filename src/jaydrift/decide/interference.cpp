#include <jaydrift/decide/interference.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/interference_table.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace jaydrift::decide::workers {

namespace {

constexpr std::int64_t no_slowdown_permille = 1000;
constexpr double max_factor = 10.0;

/// Weight of one report against the earlier ones.
constexpr double learning_rate = 0.2;

constexpr time_ms decay_interval{10000};

/// Time in which the amount by which a factor exceeds 1 halves: 10 minutes.
constexpr double half_life_ms = 600000.0;

/// A factor that exceeds 1 by less than this is removed from the table.
constexpr double negligible_excess = 0.01;

/// Bounds the table. A policy with 60 kinds has 3,600 pairs.
constexpr std::size_t max_pairs = 4096;

double factor(interference_table const& table, std::string const& kind,
              std::string const& other)
{
    auto const found = table.factors.find({kind, other});
    return found == table.factors.end() ? 1.0 : found->second;
}

void adjust(interference_table& table, std::string const& kind,
            std::string const& other, double ratio)
{
    auto const known = table.factors.contains({kind, other});
    if (!known && table.factors.size() >= max_pairs)
    {
        return;
    }
    auto const value = factor(table, kind, other) * ratio;
    table.factors[{kind, other}] = std::clamp(value, 1.0, max_factor);
}

using kind_counts = std::map<std::string, std::uint32_t, std::less<>>;

/// Adjusts the factors of one task's kind and the kinds that run beside it, so
/// that their product comes closer to the measured slowdown. Each pair takes an
/// equal part of the correction.
void learn_task(interference_table& table, task_usage const& task,
                kind_counts const& counts)
{
    std::vector<std::string const*> others;
    auto expected = 1.0;
    for (auto const& [kind, count] : counts)
    {
        if (kind == task.kind && count == 1)
        {
            continue;
        }
        others.push_back(&kind);
        expected *= factor(table, task.kind, kind);
    }
    if (others.empty())
    {
        return;
    }
    auto const measured =
        std::max(1.0, static_cast<double>(task.slowdown_permille)
                          / no_slowdown_permille);
    auto const correction =
        std::pow(measured / expected,
                 learning_rate / static_cast<double>(others.size()));
    for (auto const* other : others)
    {
        adjust(table, task.kind, *other, correction);
    }
}

} // namespace

void learn_interference(interference_table& table, usage_report const& usage)
{
    kind_counts counts;
    for (auto const& task : usage.tasks)
    {
        ++counts[task.kind];
    }
    for (auto const& task : usage.tasks)
    {
        learn_task(table, task, counts);
    }
}

void decay_interference(interference_table& table, time_ms now)
{
    if (now < table.next_decay_at)
    {
        return;
    }
    auto const kept_share =
        std::exp2(-static_cast<double>(decay_interval.count()) / half_life_ms);
    for (auto& [pair, value] : table.factors)
    {
        value = 1.0 + (value - 1.0) * kept_share;
    }
    std::erase_if(table.factors, [](auto const& item) {
        return item.second < 1.0 + negligible_excess;
    });
    table.next_decay_at = now + decay_interval;
}

std::int64_t expected_slowdown(daemon_state const& state,
                               std::string_view worker, std::string_view kind)
{
    auto const found = state.workers.entries.find(worker);
    if (found == state.workers.entries.end())
    {
        return no_slowdown_permille;
    }
    auto const name = std::string(kind);
    auto product = static_cast<double>(no_slowdown_permille);
    for (auto const& [other, count] : found->second.reservations_by_kind)
    {
        product *= factor(state.workers.interference, name, other);
    }
    return std::max(no_slowdown_permille,
                    static_cast<std::int64_t>(std::llround(product)));
}

} // namespace jaydrift::decide::workers
