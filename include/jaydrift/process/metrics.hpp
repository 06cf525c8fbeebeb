#ifndef JAYDRIFT_PROCESS_METRICS_HPP
#define JAYDRIFT_PROCESS_METRICS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::process {

class metric_histogram;

/// Histograms, counters and gauges of a process, printed in the Prometheus text
/// exposition format.
/// `docs/metrics.md` lists the names and units. Safe on any thread.
class metrics
{
public:
    metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;
    ~metrics();

    /// Adds a sample to a histogram; the name should end in its unit.
    void observe(std::string_view name, std::int64_t value);

    /// Adds one to the counter `name{type="type"}`.
    void count(std::string_view name, std::string_view type);

    /// Sets the gauge `name{type="type"}`.
    void set(std::string_view name, std::string_view type, std::int64_t value);

    /// Returns all metrics as text, each name with the prefix `jaydrift_`.
    std::string text() const;

private:
    /// Values of a counter or gauge.
    struct labelled_values
    {
        std::map<std::string, std::int64_t, std::less<>> by_type;
    };

    using values_by_name = std::map<std::string, labelled_values, std::less<>>;

    /// Returns the value of a counter or gauge, which is 0 if it is new.
    static std::int64_t& value_of(values_by_name& all, std::string_view name,
                                  std::string_view type);

    /// Appends counters or gauges as text.
    static void print(values_by_name const& all, std::string_view kind,
                      std::string& output);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<metric_histogram>, std::less<>>
        histograms_;
    values_by_name counters_;
    values_by_name gauges_;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_METRICS_HPP
