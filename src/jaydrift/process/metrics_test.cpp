#include <jaydrift/process/metrics.hpp>

#include <gtest/gtest.h>

namespace jaydrift::process {

// Guards against samples in a wrong bin: a sample that equals an upper bound
// belongs to the bin of that bound.
TEST(metrics, prints_histograms_with_inclusive_bounds)
{
    metrics tested;
    for (auto const value : {-1, 0, 1, 2, 3, 4, 2000000})
    {
        tested.observe("wait_ms", value);
    }
    auto const text = tested.text();
    for (auto const* const line :
         {"# TYPE jaydrift_wait_ms histogram\n",
          "jaydrift_wait_ms_bucket{le=\"1\"} 3\n",
          "jaydrift_wait_ms_bucket{le=\"2\"} 4\n",
          "jaydrift_wait_ms_bucket{le=\"4\"} 6\n",
          "jaydrift_wait_ms_bucket{le=\"1048576\"} 6\n",
          "jaydrift_wait_ms_bucket{le=\"+Inf\"} 7\n",
          "jaydrift_wait_ms_sum 2000009\n", "jaydrift_wait_ms_count 7\n"})
    {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

// Guards against counters of different types that are added together.
TEST(metrics, prints_counters_by_type)
{
    metrics tested;
    tested.count("shed_total", "job_arrived");
    tested.count("shed_total", "request_arrived");
    tested.count("shed_total", "request_arrived");
    EXPECT_EQ(tested.text(),
              "# TYPE jaydrift_shed_total counter\n"
              "jaydrift_shed_total{type=\"job_arrived\"} 1\n"
              "jaydrift_shed_total{type=\"request_arrived\"} 2\n");
}

// Guards against gauges that are added up like counters, and so never fall.
TEST(metrics, prints_the_last_value_of_a_gauge)
{
    metrics tested;
    tested.set("waiting", "tail", 7);
    tested.set("waiting", "tail", 3);
    tested.set("waiting", "memory", 0);
    EXPECT_EQ(tested.text(), "# TYPE jaydrift_waiting gauge\n"
                             "jaydrift_waiting{type=\"memory\"} 0\n"
                             "jaydrift_waiting{type=\"tail\"} 3\n");
}

} // namespace jaydrift::process
