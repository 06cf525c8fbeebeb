#include "rules.hpp"

#include <cstdio>
#include <cstdlib>
#include <map>

namespace review {

namespace {

/// Returns when the end at `index` was taken note of, or -1 if it never was or
/// the worker's lease lapsed before.
std::int64_t taken_note_of(std::vector<run_event> const& events,
                           std::size_t index)
{
    auto const& end = events[index];
    for (auto i = index + 1; i < events.size(); ++i)
    {
        auto const& each = events[i];
        if (each.worker != end.worker)
        {
            continue;
        }
        if (each.kind == run_event::kind_of::lease_lapsed)
        {
            return -1;
        }
        if (each.kind == run_event::kind_of::taken_note_of
            && each.task == end.task && each.run == end.run)
        {
            return each.at;
        }
    }
    return -1;
}

} // namespace

std::size_t count_twice(std::vector<run_event> const& events)
{
    constexpr std::size_t shown = 20;
    std::size_t count = 0;
    auto const report = [&count](std::string const& text) {
        if (++count <= shown)
        {
            record("TWICE " + text);
        }
    };
    /// Index of the first end `done` that counts, by task.
    std::map<std::string, std::size_t> done;
    /// Workers on which a task runs.
    std::map<std::string, std::map<std::string, std::uint64_t>> running;
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        auto const& each = events[i];
        if (each.kind == run_event::kind_of::end)
        {
            running[each.task].erase(each.worker);
            if (each.how == "done" && !done.contains(each.task)
                && taken_note_of(events, i) >= 0)
            {
                done[each.task] = i;
            }
        }
        if (each.kind != run_event::kind_of::start)
        {
            continue;
        }
        auto& others = running[each.task];
        if (!others.empty() && !others.contains(each.worker))
        {
            report(each.task + " starts on " + each.worker + " at "
                   + std::to_string(each.at) + " while it runs on "
                   + others.begin()->first);
        }
        others[each.worker] = each.run;
        if (auto const found = done.find(each.task); found != done.end())
        {
            auto const& end = events[found->second];
            report(each.task + " starts on " + each.worker + " at "
                   + std::to_string(each.at) + " as run "
                   + std::to_string(each.run) + ", but run "
                   + std::to_string(end.run) + " ended done on " + end.worker
                   + " at " + std::to_string(end.at) + ", taken note of at "
                   + std::to_string(taken_note_of(events, found->second)));
        }
    }
    return count;
}

std::string submission_id(unsigned number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016x", 0x5c0e0000U + number);
    return text;
}

bool trouble()
{
    auto const* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
