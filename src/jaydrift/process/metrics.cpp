#include <jaydrift/process/metrics.hpp>

#include "metric_histogram.hpp"

namespace jaydrift::process {

namespace {

constexpr std::string_view name_prefix = "jaydrift_";

} // namespace

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::observe(std::string_view name, std::int64_t value)
{
    std::lock_guard const lock(mutex_);
    auto found = histograms_.find(name);
    if (found == histograms_.end())
    {
        found = histograms_
                    .emplace(std::string(name),
                             std::make_unique<metric_histogram>())
                    .first;
    }
    found->second->add(value);
}

void metrics::count(std::string_view name, std::string_view type)
{
    std::lock_guard const lock(mutex_);
    ++value_of(counters_, name, type);
}

void metrics::set(std::string_view name, std::string_view type,
                  std::int64_t value)
{
    std::lock_guard const lock(mutex_);
    value_of(gauges_, name, type) = value;
}

std::int64_t& metrics::value_of(values_by_name& all, std::string_view name,
                                std::string_view type)
{
    auto found = all.find(name);
    if (found == all.end())
    {
        found = all.emplace(std::string(name), labelled_values{}).first;
    }
    auto& by_type = found->second.by_type;
    auto entry = by_type.find(type);
    if (entry == by_type.end())
    {
        entry = by_type.emplace(std::string(type), 0).first;
    }
    return entry->second;
}

void metrics::print(values_by_name const& all, std::string_view kind,
                    std::string& output)
{
    for (auto const& [name, values] : all)
    {
        auto const full_name = std::string(name_prefix) + name;
        output += "# TYPE " + full_name + ' ';
        output += kind;
        output += '\n';
        for (auto const& [type, value] : values.by_type)
        {
            output += full_name;
            output += "{type=\"" + type + "\"} ";
            output += std::to_string(value) + '\n';
        }
    }
}

std::string metrics::text() const
{
    std::lock_guard const lock(mutex_);
    std::string output;
    print(counters_, "counter", output);
    print(gauges_, "gauge", output);
    for (auto const& [name, histogram] : histograms_)
    {
        histogram->print(std::string(name_prefix) + name, output);
    }
    return output;
}

} // namespace jaydrift::process
