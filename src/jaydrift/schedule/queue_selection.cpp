#include <jaydrift/schedule/queue_selection.hpp>

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/submission_id.hpp>
#include <jaydrift/schedule/view_age.hpp>

namespace jaydrift::schedule::queue_selection {

namespace {

bool has_prefix(call_arrived const& call, queue const& target)
{
    return target.host == call.host && call.path.starts_with(target.prefix);
}

/// Returns whether the path consists of the prefix of the queue and the ID of a
/// submission or, unless the call submits work, nothing.
bool serves(queue const& target, call_arrived const& call)
{
    if (!has_prefix(call, target))
    {
        return false;
    }
    auto const id = id_of(call, target);
    return is_submission_id(id) || (id.empty() && !call.work);
}

/// Returns the queue with the longest matching prefix of the path; null if none
/// matches.
queue const* find(configuration const& config, call_arrived const& call)
{
    queue const* best = nullptr;
    for (auto const& each : config.queues)
    {
        if (has_prefix(call, each)
            && (!best || each.prefix.size() > best->prefix.size()))
        {
            best = &each;
        }
    }
    return best;
}

} // namespace

std::optional<selected_queue> select(context const& ctx,
                                     call_arrived const& call,
                                     std::optional<selected_queue> const& known)
{
    auto const& config = *ctx.state.config;
    if (known && known->config_version >= config.version
        && serves(known->target, call))
    {
        return known;
    }
    auto const* const found = find(config, call);
    return found && serves(*found, call)
               ? std::optional(selected_queue{config.version, *found})
               : std::nullopt;
}

std::string_view id_of(call_arrived const& call, queue const& target)
{
    return std::string_view(call.path).substr(target.prefix.size());
}

std::string source_text(context const& ctx, selected_queue const& selected)
{
    auto const own = view_age::configuration_text(ctx);
    return selected.config_version > view_age::version(ctx)
               ? "version " + std::to_string(selected.config_version)
                     + " of another daemon, here " + own
               : own;
}

void note_forwarded(context& ctx, call_arrived const& call)
{
    auto const own = view_age::version(ctx);
    ctx.count("forwarded_calls_total",
              !call.selected                         ? "no_version"
              : call.selected->config_version == own ? "same_version"
              : call.selected->config_version < own  ? "older_version"
                                                     : "newer_version");
}

} // namespace jaydrift::schedule::queue_selection
