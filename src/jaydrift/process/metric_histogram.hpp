#ifndef JAYDRIFT_PROCESS_METRIC_HISTOGRAM_HPP
#define JAYDRIFT_PROCESS_METRIC_HISTOGRAM_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace jaydrift::process {

/// Histogram of whole numbers whose bins have the inclusive upper bounds 1, 2,
/// 4 and so on up to 2^20, and one bin for larger numbers.
class metric_histogram
{
public:
    metric_histogram();

    void add(std::int64_t value);

    /// Appends the histogram to `output` in the Prometheus text exposition
    /// format. `name` is the full name of the metric.
    void print(std::string_view name, std::string& output) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> bins_;
    std::int64_t sum_ = 0;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_METRIC_HISTOGRAM_HPP
