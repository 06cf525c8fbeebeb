#include <algorithm>
#include <ostream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <jaydrift/app/operator_error.hpp>
#include <jaydrift/app/timeline_text.hpp>

#include "command_session.hpp"

namespace jaydrift::app {

namespace {

using timelines = std::vector<std::vector<timeline_event>>;

/// Settings of `timeline` besides those of every command.
struct timeline_options
{
    std::vector<std::string> daemons;
    /// Paths separated by commas.
    std::string files;
    /// IDs that the events must have; empty allows every ID.
    std::string request;
    std::string task;
};

void describe(process::settings_reader& settings, timeline_options& target)
{
    settings.addresses(
        "daemons", target.daemons,
        "Operator addresses of the daemons whose events are shown; if neither "
        "this nor --files is given, those of --daemon.",
        process::presence::optional);
    settings.text("files", target.files,
                  "Files with timelines that stand-ins serve on /timeline, as "
                  "JSON lines; the paths are separated by commas.",
                  process::presence::optional);
    settings.name("request", target.request,
                  "Show only events of this request ID; workers run the "
                  "request as a task with the same ID.",
                  process::presence::optional);
    settings.name("task", target.task, "Show only events of this task ID.",
                  process::presence::optional);
}

/// Adds the timeline of every daemon to `target`. Returns false if one of them
/// cannot be had; the others are still added.
bool fetch_timelines(command_session& session,
                     std::vector<std::string> const& daemons,
                     std::ostream& errors, timelines& target)
{
    bool complete = true;
    for (auto const& daemon : daemons)
    {
        try
        {
            target.push_back(session.call({daemon}, show_timeline()).events);
        }
        catch (operator_error const& error)
        {
            errors << "jaydriftctl: the timeline of " << daemon
                   << " is missing: " << error.what() << '\n';
            complete = false;
        }
    }
    return complete;
}

/// Adds the timeline in every file to `target`. Returns false if one of them
/// cannot be read; the others are still added.
bool read_files(std::string_view files, std::ostream& errors, timelines& target)
{
    bool complete = true;
    for (auto const path : process::split(files, ','))
    {
        try
        {
            target.push_back(
                parse_timeline_lines(read_document(std::string(path))));
        }
        catch (std::invalid_argument const& error)
        {
            errors << "jaydriftctl: " << path << ": " << error.what() << '\n';
            complete = false;
        }
        catch (operator_error const& error)
        {
            errors << "jaydriftctl: " << error.what() << '\n';
            complete = false;
        }
    }
    return complete;
}

bool is_selected(timeline_event const& event, timeline_options const& options)
{
    auto const in_request = options.request.empty()
                            || event.request == options.request
                            || event.task == options.request;
    auto const in_task = options.task.empty() || event.task == options.task;
    return in_request && in_task;
}

} // namespace

int timeline_command(command_input const& input)
{
    command_session session(input);
    timeline_options options;
    describe(session.settings(), options);
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    if (options.daemons.empty() && options.files.empty())
    {
        options.daemons = session.daemons();
    }
    timelines collected;
    auto const fetched =
        fetch_timelines(session, options.daemons, input.errors, collected);
    auto const read = read_files(options.files, input.errors, collected);
    auto events = merge_timelines(std::move(collected));
    std::erase_if(events, [&](timeline_event const& event) {
        return !is_selected(event, options);
    });
    input.output << (session.json() ? format_timeline_lines(events)
                                    : format_timeline(events));
    return fetched && read ? 0 : 1;
}

} // namespace jaydrift::app
