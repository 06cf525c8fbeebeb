#include <jaydrift/schedule/configuration_changes.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/configuration_history.hpp>

#include <bit>
#include <cstddef>
#include <initializer_list>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::configuration_changes {

namespace {

/// Removals are forgotten beyond this number, and whole configurations passed
/// on instead.
constexpr std::size_t max_removals = 4096;

std::uint64_t hash_of(queue const& each)
{
    std::uint64_t result = 0;
    for (std::string_view const text :
         {std::string_view(each.name), std::string_view(each.host),
          std::string_view(each.prefix), std::string_view(each.service)})
    {
        result = stable_hash(text, result);
    }
    for (auto const number :
         {std::uint64_t{each.priority}, std::uint64_t{each.max_attempts},
          std::bit_cast<std::uint64_t>(each.slack_factor),
          static_cast<std::uint64_t>(each.latency_objective.count())})
    {
        result = stable_hash(std::to_string(number), result);
    }
    return result;
}

using queues_by_name = std::map<std::string_view, queue const*>;

queues_by_name by_name(configuration const& config)
{
    queues_by_name result;
    for (auto const& each : config.queues)
    {
        result.emplace(each.name, &each);
    }
    return result;
}

/// Makes later differences begin with this revision.
void begin(configuration_history& history, std::uint64_t revision)
{
    history.complete_since = revision;
    history.changed_at.clear();
    history.removed_at.clear();
}

} // namespace

std::uint64_t hash_of(configuration const& config)
{
    auto result = stable_hash(std::to_string(config.version));
    for (auto const& each : config.queues)
    {
        result += hash_of(each);
    }
    return result;
}

void note(configuration_history& history, configuration const* before,
          configuration const& after, std::uint64_t revision)
{
    history.last_change = revision;
    history.hash = hash_of(after);
    auto const present = by_name(after);
    // Queues of the same name cannot be told apart in a difference.
    if (!before || present.size() != after.queues.size())
    {
        begin(history, revision);
        return;
    }
    auto const previous = by_name(*before);
    if (previous.size() != before->queues.size())
    {
        begin(history, revision);
        return;
    }
    for (auto const& [name, each] : present)
    {
        auto const found = previous.find(name);
        if (found == previous.end() || !(*found->second == *each))
        {
            history.changed_at[std::string(name)] = revision;
            history.removed_at.erase(std::string(name));
        }
    }
    for (auto const& [name, each] : previous)
    {
        if (!present.contains(name))
        {
            history.removed_at[std::string(name)] = revision;
            history.changed_at.erase(std::string(name));
        }
    }
    if (history.removed_at.size() > max_removals)
    {
        begin(history, revision);
    }
}

std::variant<std::monostate, configuration, configuration_change>
since(configuration_history const& history, configuration const& current,
      std::uint64_t revision)
{
    if (revision >= history.last_change)
    {
        return std::monostate();
    }
    if (revision < history.complete_since)
    {
        return current;
    }
    configuration_change result;
    result.version = current.version;
    result.hash = history.hash;
    for (auto const& each : current.queues)
    {
        auto const found = history.changed_at.find(each.name);
        if (found != history.changed_at.end() && found->second > revision)
        {
            result.queues.push_back(each);
        }
    }
    for (auto const& [name, removed_at] : history.removed_at)
    {
        if (removed_at > revision)
        {
            result.removed.push_back(name);
        }
    }
    return result;
}

std::optional<configuration> apply(configuration const& before,
                                   configuration_change const& change)
{
    std::set<std::string_view> const removed(change.removed.begin(),
                                             change.removed.end());
    std::map<std::string_view, queue const*> changed;
    for (auto const& each : change.queues)
    {
        changed.emplace(each.name, &each);
    }
    configuration result;
    result.version = change.version;
    for (auto const& each : before.queues)
    {
        auto const found = changed.find(each.name);
        if (found != changed.end())
        {
            result.queues.push_back(*found->second);
            changed.erase(found);
        }
        else if (!removed.contains(each.name))
        {
            result.queues.push_back(each);
        }
    }
    for (auto const& each : change.queues)
    {
        if (changed.contains(each.name))
        {
            result.queues.push_back(each);
        }
    }
    return hash_of(result) == change.hash ? std::optional(std::move(result))
                                          : std::nullopt;
}

} // namespace jaydrift::schedule::configuration_changes
