#include <jaydrift/net/json.hpp>

#include <jaydrift/net/document_error.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace jaydrift::net {

namespace {

/// Returns the message of the error that parsing gives.
std::string error_of(std::string_view policy)
{
    try
    {
        parse_policy(policy);
    }
    catch (document_error const& error)
    {
        return error.what();
    }
    return "no error";
}

policy_document sample()
{
    policy_document policy;
    policy.version = std::numeric_limits<std::uint64_t>::max();
    policy.comment = "close \"arima\"\n";
    policy.zones = {{"arima", "north", false}, {"chaguanas", "north", true}};
    policy.kinds = {{"tally", task_class::urgent, true, {500, 256, 1}}};
    policy.shares = {{task_class::background, 30}};
    policy.quotas = {{"kitchen", 64000}};
    return policy;
}

} // namespace

// Guards against a printed policy that cannot be applied again.
TEST(json, policy_round_trip)
{
    auto const policy = sample();
    auto const text = print_policy(policy);
    auto const back = parse_policy(text);
    EXPECT_EQ(print_policy(back), text);
    EXPECT_EQ(back.version, policy.version);
    EXPECT_EQ(back.comment, policy.comment);
    ASSERT_EQ(back.zones.size(), 2U);
    EXPECT_FALSE(back.zones[0].open);
    EXPECT_EQ(back.kinds[0].priority, task_class::urgent);
    EXPECT_EQ(back.kinds[0].demand, policy.kinds[0].demand);
    EXPECT_EQ(back.shares[0].percent, 30U);
    EXPECT_EQ(back.quotas[0].millicores, 64000);
}

// Guards against absent fields that get a value other than the default.
TEST(json, absent_fields_keep_defaults)
{
    auto const policy = parse_policy(R"({"zones": [{"name": "arima"}]})");
    EXPECT_TRUE(policy.zones[0].open);
    EXPECT_EQ(parse_job("{}").task_count, 1U);
}

// Guards against a mistyped field that is ignored, or that the operator cannot
// find.
TEST(json, errors_name_the_path)
{
    EXPECT_EQ(error_of(R"({"colour": 1})"), "colour: unknown field");
    EXPECT_EQ(error_of(R"({"zones": [{}, {"opn": true}]})"),
              "zones[1].opn: unknown field");
    EXPECT_EQ(error_of(R"({"zones": [{"open": 1}]})"),
              "zones[0].open: expected true or false");
    EXPECT_EQ(error_of(R"({"zones": {}})"), "zones: expected a list");
    EXPECT_EQ(error_of(R"({"zones": [null]})"), "zones[0]: expected an object");
    EXPECT_EQ(error_of(R"({"kinds": [{"priority": "soon"}]})"),
              "kinds[0].priority: expected one of urgent, service, batch, "
              "background");
    EXPECT_EQ(error_of(R"({"comment": 5})"), "comment: expected a text");
    EXPECT_EQ(error_of(R"({"comment": "a", "comment": "b"})"),
              "comment: the field is given twice");
    for (char const* const percent :
         {"-1", "1.5", "4294967296", "1e300", "\"x\"", "null", "\"\""})
    {
        EXPECT_EQ(error_of(std::string(R"({"shares": [{"percent": )") + percent
                           + "}]}"),
                  "shares[0].percent: expected a whole number from 0 to "
                  "4294967295")
            << percent;
    }
}

// Guards against input that is not JSON ending the process.
TEST(json, malformed_documents_are_errors)
{
    std::string const texts[] = {"",
                                 "{",
                                 "[]",
                                 "{\"zones\": tru",
                                 std::string("\xff\x00{", 3),
                                 std::string(100000, '['),
                                 std::string((1U << 20) + 1, ' ')};
    for (auto const& text : texts)
    {
        EXPECT_TRUE(error_of(text).starts_with("document: ")) << text.size();
    }
}

// Guards against names in the JSON form that change with the code.
TEST(json, prints_status_and_replies)
{
    job_status job;
    job.id = "j1";
    job.state = job_state::cancelled;
    EXPECT_NE(print_job_status(job).find(R"("state": "cancelled")"),
              std::string::npos);
    operator_reply reply;
    reply.status = call_status::not_found;
    reply.shards.resize(1);
    auto const text = print_operator_reply(reply);
    EXPECT_NE(text.find(R"("status": "notFound")"), std::string::npos);
    EXPECT_NE(text.find(R"("waitingBatch": 0)"), std::string::npos);
    job_spec spec;
    spec.run_time_ms = 60000;
    EXPECT_EQ(parse_job(print_job(spec)).run_time_ms, 60000);
}

} // namespace jaydrift::net
