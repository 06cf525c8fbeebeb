#include <jaydrift/schedule/view_age.hpp>

#include <jaydrift/schedule/context.hpp>

namespace jaydrift::schedule::view_age {

namespace {

/// Changes of the configuration and drains must be in force this long after
/// the store has acknowledged them.
constexpr time_ms stale_after{2500};

constexpr time_ms line_interval{1000};

/// Returns the age in ms of the view as text.
std::string age_text(context const& ctx, watch_state const& view)
{
    return view.current_at
               ? std::to_string((ctx.now - *view.current_at).count()) + " ms"
               : "unknown";
}

void report_answers(context& ctx)
{
    auto& answers = ctx.state.old_views.answers;
    auto const& decided_by = ctx.state.old_views.configuration;
    std::string counts;
    for (auto const& [result, count] : answers)
    {
        counts +=
            (counts.empty() ? "" : ", ") + std::to_string(count) + " " + result;
    }
    ctx.log(log_level::warning, "config",
            "calls answered by " + decided_by + ": " + counts);
    answers.clear();
}

void report_starts(context& ctx)
{
    auto& starts = ctx.state.old_views.starts;
    ctx.log(log_level::warning, "placement",
            std::to_string(starts) + " tasks started by "
                + ctx.state.old_views.workers);
    starts = 0;
}

} // namespace

bool is_stale(watch_state const& view, time_ms now)
{
    return view.current_at && now - *view.current_at >= stale_after;
}

std::string configuration_text(context const& ctx)
{
    return (ctx.state.config
                ? "version " + std::to_string(ctx.state.config->version)
                : std::string("no version"))
           + " of age " + age_text(ctx, ctx.state.store.operators);
}

std::string workers_text(context const& ctx)
{
    return "entries of the workers of age "
           + age_text(ctx, ctx.state.store.workers);
}

void note_answer(context& ctx, std::string_view result)
{
    auto& decisions = ctx.state.old_views;
    auto const current_at =
        ctx.state.store.operators.current_at.value_or(time_ms(0));
    if (decisions.unconfirmed_since != current_at)
    {
        decisions.unconfirmed_since = current_at;
        decisions.unconfirmed_answers = 0;
    }
    ++decisions.unconfirmed_answers;
    if (is_stale(ctx.state.store.operators, ctx.now))
    {
        ++ctx.state.old_views.answers[std::string(result)];
        ctx.state.old_views.configuration = configuration_text(ctx);
        ctx.count("old_view_decisions_total", "operators");
    }
}

void note_start(context& ctx)
{
    if (is_stale(ctx.state.store.workers, ctx.now))
    {
        ++ctx.state.old_views.starts;
        ctx.state.old_views.workers = workers_text(ctx);
        ctx.count("old_view_decisions_total", "workers");
    }
}

std::uint64_t version(context const& ctx)
{
    return ctx.state.config ? ctx.state.config->version : 0;
}

void report_replaced(context& ctx, std::uint64_t before, time_ms age)
{
    if (before == 0 || version(ctx) == before)
    {
        return;
    }
    ctx.log(log_level::info, "config",
            "version " + std::to_string(before) + " was replaced by version "
                + std::to_string(version(ctx)) + " when its view was "
                + std::to_string(age.count()) + " ms old; it has answered "
                + std::to_string(ctx.state.old_views.unconfirmed_answers)
                + " calls since the view was current");
    ctx.state.old_views.unconfirmed_answers = 0;
}

void tick(context& ctx)
{
    auto& decisions = ctx.state.old_views;
    if (ctx.now < decisions.next_line
        || (decisions.answers.empty() && decisions.starts == 0))
    {
        return;
    }
    decisions.next_line = ctx.now + line_interval;
    if (!decisions.answers.empty())
    {
        report_answers(ctx);
    }
    if (decisions.starts > 0)
    {
        report_starts(ctx);
    }
}

} // namespace jaydrift::schedule::view_age
