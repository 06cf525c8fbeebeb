#include <jaydrift/process/log.hpp>
#include <jaydrift/process/rate_limited_log.hpp>

#include <regex>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace jaydrift::process {

using namespace literals;

namespace {

std::size_t count_of(std::string_view text, std::string_view part)
{
    std::size_t result = 0;
    for (auto at = text.find(part); at != std::string_view::npos;
         at = text.find(part, at + part.size()))
    {
        ++result;
    }
    return result;
}

struct rate_limited_log_test : testing::Test
{
    void SetUp() override
    {
        testing::internal::CaptureStderr();
        start_log(log_level::info);
    }
    void TearDown() override { start_log(log_level::error); }

    void write(std::size_t lines, log_level level, log_subject subject,
               std::string_view part, std::string_view text)
    {
        for (std::size_t i = 0; i < lines; ++i)
        {
            log.write(now, level, subject, part, text);
        }
    }

    rate_limited_log log;
    time_ms now{5000};
};

} // namespace

// Guards against lines without the prefix of their part or without the time in
// ms, and against lines below the configured level.
TEST(log, writes_the_time_and_the_part_to_standard_error)
{
    testing::internal::CaptureStderr();
    start_log(log_level::info);
    log_line(log_level::debug, "ownership", "Not shown.");
    log_line(log_level::warning, "ownership", "Takes north/2.");
    start_log(log_level::error);
    log_line(log_level::warning, "ownership", "Not shown.");
    auto const text = testing::internal::GetCapturedStderr();
    std::regex const line(R"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3} WARN  )"
                          R"(\[ownership\] Takes north/2\.\n)");
    EXPECT_TRUE(std::regex_match(text, line)) << text;
}

// Guards against lines about state that are missing on a busy day, since lines
// about tasks have used up the limit.
TEST_F(
    rate_limited_log_test,
    lines_about_state_are_written_although_lines_about_tasks_exceed_the_limit)
{
    write(5000, log_level::info, log_subject::work, "placement", "started");
    write(5000, log_level::warning, log_subject::work, "worker", "failed");
    write(1, log_level::info, log_subject::state, "worker", "is draining");
    write(1, log_level::warning, log_subject::state, "store", "unavailable");
    auto const text = testing::internal::GetCapturedStderr();
    EXPECT_EQ(count_of(text, "is draining"), 1);
    EXPECT_EQ(count_of(text, "unavailable"), 1);
    EXPECT_LT(count_of(text, "started"), 5000);
    EXPECT_LT(count_of(text, "failed"), 5000);
}

// Guards against lines that are missing when many workers of a large deployment
// change their state at once.
TEST_F(rate_limited_log_test, the_workers_of_a_deployment_may_change_at_once)
{
    write(60, log_level::info, log_subject::state, "worker", "is draining");
    write(700, log_level::info, log_subject::state, "worker",
          "no longer listed");
    write(700, log_level::warning, log_subject::state, "worker",
          "does not answer");
    write(1, log_level::info, log_subject::state, "ownership", "suspended");
    auto const text = testing::internal::GetCapturedStderr();
    EXPECT_EQ(count_of(text, "is draining"), 60);
    EXPECT_EQ(count_of(text, "no longer listed"), 700);
    EXPECT_EQ(count_of(text, "does not answer"), 700);
    EXPECT_EQ(count_of(text, "suspended"), 1);
}

// Guards against a log that grows without bound, and against a number of
// missing lines that does not tell what they were about.
TEST_F(rate_limited_log_test, dropped_lines_are_counted_for_each_subject)
{
    write(2000, log_level::info, log_subject::state, "worker", "x");
    write(2000, log_level::warning, log_subject::state, "worker", "x");
    write(2000, log_level::info, log_subject::work, "placement", "x");
    write(2000, log_level::warning, log_subject::work, "placement", "x");
    now += 999_ms;
    write(1, log_level::info, log_subject::work, "placement", "x");
    now += 1_ms;
    write(1, log_level::info, log_subject::state, "process", "stopped");
    now += 1000_ms;
    write(1, log_level::info, log_subject::state, "process", "stopped");
    auto const text = testing::internal::GetCapturedStderr();
    EXPECT_EQ(count_of(text, "] x\n"), 2400);
    EXPECT_EQ(count_of(text, "WARN  [log] left out 5601 lines: 2000 about "
                             "state, 3601 about work\n"),
              1);
    EXPECT_EQ(count_of(text, "left out"), 1);
    EXPECT_EQ(count_of(text, "stopped"), 2);
}

} // namespace jaydrift::process
