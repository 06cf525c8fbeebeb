#include "metric_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace jaydrift::process {

namespace {

/// Number of bins with the bounds 2, 4, ..., 2^20. 2^20 ms is 17 min, longer
/// than request IDs are remembered.
constexpr unsigned bin_count = 20;

/// Replaces 0 and negative numbers, which have no logarithm. It lies below the
/// first bound, so they are counted in the bin of 1.
constexpr double min_sample = 0.25;

void print_line(std::string_view name, std::string_view suffix,
                std::string_view value, std::string& output)
{
    output += name;
    output += suffix;
    output += ' ';
    output += value;
    output += '\n';
}

} // namespace

metric_histogram::metric_histogram()
    : bins_(boost::histogram::make_histogram(
        axis(bin_count, 1.0, std::pow(2.0, bin_count))))
{
}

void metric_histogram::add(std::int64_t value)
{
    // Boost's bins exclude their upper bound, but those of the exposition
    // format include it, so whole numbers are moved down by a half.
    bins_(std::max(static_cast<double>(value) - 0.5, min_sample));
    sum_ += value;
}

void metric_histogram::print(std::string_view name, std::string& output) const
{
    double cumulative_count = 0;
    auto const print_bin = [&](std::string const& bound, double count) {
        cumulative_count += count;
        print_line(name, "_bucket{le=\"" + bound + "\"}",
                   std::to_string(static_cast<std::uint64_t>(cumulative_count)),
                   output);
    };
    output += "# TYPE " + std::string(name) + " histogram\n";
    // -1 is the index of the underflow bin and `bin_count` that of the overflow
    // bin.
    print_bin("1", bins_.at(-1));
    for (unsigned i = 0; i < bin_count; ++i)
    {
        print_bin(std::to_string(std::uint64_t{2} << i),
                  bins_.at(static_cast<int>(i)));
    }
    print_bin("+Inf", bins_.at(static_cast<int>(bin_count)));
    print_line(name, "_sum", std::to_string(sum_), output);
    print_line(name, "_count",
               std::to_string(static_cast<std::uint64_t>(cumulative_count)),
               output);
}

} // namespace jaydrift::process
