#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/peer_codec.hpp>
#include <jaydrift/codec/record_codec.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaydrift::codec {

namespace {

using namespace schedule;

/// Addresses at which no process can be reached.
constexpr char const* unusable_addresses[] = {"",
                                              "10.0.0.9",
                                              "10.0.0.9:0",
                                              "10.0.0.9:65536",
                                              "10.0.0.9:-1",
                                              "host.example:80",
                                              "::1:80"};

void expect_unreadable(record_kind kind, std::string const& text)
{
    EXPECT_THROW(static_cast<void>(decode_record(kind, text)), codec_error)
        << text.substr(0, 200);
}

void expect_unreadable_message(std::string const& text)
{
    EXPECT_THROW(static_cast<void>(decode_message(text)), codec_error)
        << text.substr(0, 200);
}

/// Returns a submission record with one step that has the given fields.
std::string submission_with(std::string const& step_fields)
{
    return R"({"id":"00000000000000a1","queue":"q","steps":[{"count":1},{)"
           + step_fields + "}]}";
}

/// Returns a progress record with one task that has the given elements.
std::string progress_with(std::string const& task)
{
    return R"({"id":"00000000000000a1","tasks":[[[)" + task + "]]]}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Valid records of each kind that the scheduler writes.
std::vector<std::pair<record_kind, std::string>> valid_records()
{
    submission_record submitted;
    submitted.id = "00000000000000a1";
    submitted.queue = "q";
    submitted.work.payload = "work";
    step_spec step;
    step.count = 2;
    step.demand = {500, 256, 1};
    step.estimate = time_ms(700);
    step.image = "im";
    submitted.work.steps = {step, step};
    submitted.work.steps[1].after = {0};
    submitted.work.repeat_count = 2;
    submitted.terms = submission_terms{"svc", 1, 3, time_ms(9000)};
    progress_record progress;
    progress.id = submitted.id;
    task_progress task;
    task.failed_runs = {3};
    task.highest_ended_run = 3;
    task.run = 4;
    task.worker = "i-1";
    task.checkpoint = "0a";
    progress.occurrences = {{{task, {}}, {task, task}}};
    interference_record learned;
    learned.by_serving_image["serving"]["other"] = {1.5, 0.25};
    std::vector<std::pair<record_kind, std::string>> result;
    auto const add = [&result](record_kind kind, store_record const& record) {
        result.emplace_back(kind, encode_record(record));
    };
    add(record_kind::submission, submitted);
    add(record_kind::progress, progress);
    add(record_kind::interference, learned);
    add(record_kind::owner, owner_record{"d1", "10.0.0.1:7000", 3, 77});
    add(record_kind::member,
        member_record{"d1", "10.0.0.1:7000", 0.25, "north"});
    add(record_kind::layout, layout_record{5});
    add(record_kind::roster, roster_record{{"d1", "d2"}});
    add(record_kind::serial, serial_record{12});
    add(record_kind::fleet, fleet_record{{{"i-1", "10.0.0.1:80"}}});
    add(record_kind::relocation,
        relocation_record{"00000000000000a1", 4, time_ms(99)});
    add(record_kind::cancellation,
        cancellation_record{"00000000000000a1", time_ms(99)});
    add(record_kind::assignment, assignment_record{"i-1", 4, 99});
    add(record_kind::task_assignment,
        task_assignment_record{
            {"00000000000000a1", 0, 1, 2}, 4, 5, 99, 7, 123, time_ms(1500)});
    return result;
}

/// Valid messages of each type.
std::vector<std::string> valid_messages()
{
    return {encode_message(heartbeat{
                2, "d1", "10.0.0.1:7000", 12, 3, time_ms(900), {7, 8}}),
            encode_message(heartbeat_reply{2, "d1", 12, time_ms(40), true}),
            encode_message(owner_query{2, "d1", "10.0.0.1:7000", 12}),
            encode_message(owner_query_reply{3, "d1", 12, time_ms(40)}),
            encode_message(yield_request{1, "d1", 12}),
            encode_message(room_request{1,
                                        "d1",
                                        12,
                                        2,
                                        {{{"00000000000000a1", 0, 1, 2},
                                          "svc",
                                          "label",
                                          {9000, 64, 1},
                                          3}}}),
            encode_message(
                room_offer{1, "d1", 12, 2, {{"00000000000000a1", 0, 1, 2}}}),
            encode_message(
                room_refusal{1, "d1", 12, {{"00000000000000a1", 0, 1, 2}}}),
            encode_message(tasks_assigned{1,
                                          "d1",
                                          12,
                                          {{{"00000000000000a1", 0, 1, 2},
                                            4,
                                            5,
                                            99,
                                            7,
                                            123,
                                            time_ms(1500)}}})};
}

/// JSON values of any type.
rc::Gen<std::string> odd_value()
{
    return rc::gen::element<std::string>(
        "null", "-1", "0", "1", "1e300", "1e15", "9223372036854775807",
        "9223372036854775808", "18446744073709551615", "-9223372036854775808",
        "0.5", "true", "\"\"", "\"x\"", "[]", "{}", "[[]]", "[{}]", "[0]",
        "\"10.0.0.9:65536\"", "\"\x80\"", "4294967295", "4294967296",
        nested(1000));
}

/// Replaces the value after a random `:`, `,` or `[`.
std::string with_odd_value(std::string const& text)
{
    auto const from = *rc::gen::inRange<std::size_t>(0, text.size());
    auto const before =
        std::min(text.find_first_of(":,[", from), text.size() - 1);
    auto const end =
        std::min(text.find_first_of(",]}", before + 1), text.size());
    return text.substr(0, before + 1) + *odd_value() + text.substr(end);
}

/// Returns the text with an odd value or, more rarely, without some bytes.
std::string mutated(std::string const& text)
{
    if (*rc::gen::inRange(0, 8) > 0)
    {
        return with_odd_value(text);
    }
    auto result = text;
    return result.erase(*rc::gen::inRange<std::size_t>(0, text.size()),
                        *rc::gen::inRange<std::size_t>(1, 20));
}

} // namespace

// The owner sends heartbeats to the addresses of member records, and forwards
// calls to that of the owner record. Guards against a record of another writer
// whose address ends the process, or is kept for a later owner.
TEST(odd_records, an_unusable_address_makes_a_record_unreadable)
{
    for (std::string const address : unusable_addresses)
    {
        expect_unreadable(record_kind::member, R"({"node":"d1","address":")"
                                                   + address
                                                   + R"(","cpu_share":1})");
        expect_unreadable(record_kind::owner, R"({"node":"d1","address":")"
                                                  + address + R"(","term":1})");
        expect_unreadable_message(R"({"type":"heartbeat","node":"d1",)"
                                  R"("interval_ms":150,"address":")"
                                  + address + "\"}");
        expect_unreadable_message(R"({"type":"query","node":"d1","address":")"
                                  + address + "\"}");
    }
}

// An owner stored the address of an odd entry, which a later owner reads back.
// Guards against one such worker that makes a new owner end, or lose the
// others.
TEST(odd_records, a_fleet_record_keeps_the_workers_with_usable_addresses)
{
    for (std::string const address : unusable_addresses)
    {
        auto const read = std::get<fleet_record>(decode_record(
            record_kind::fleet,
            R"({"addresses":{"i-1":"10.0.0.1:80","i-2":")" + address
                + R"(","i-3":7,"":"10.0.0.1:81","a b":"10.0.0.1:82"}})"));
        EXPECT_EQ(read.addresses.size(), 1U) << address;
        EXPECT_EQ(read.addresses.count("i-1"), 1U) << address;
    }
}

// Guards against elements of another type: RapidJSON checks these only with
// assertions, so that a release reads memory of another type.
TEST(odd_records, elements_of_another_type_make_a_record_unreadable)
{
    for (std::string const element : {"4", "\"x\"", "null", "true", "[]"})
    {
        expect_unreadable(record_kind::submission,
                          R"({"id":"00000000000000a1","queue":"q","steps":[)"
                              + element + "]}");
    }
    for (std::string const element : {"4", "\"x\"", "null", "true", "{}"})
    {
        expect_unreadable(record_kind::progress,
                          R"({"id":"00000000000000a1","tasks":[)" + element
                              + "]}");
        expect_unreadable(record_kind::progress,
                          R"({"id":"00000000000000a1","tasks":[[)" + element
                              + "]]}");
    }
}

// Guards against a step that waits for one that does not exist or that waits
// for it, and against counts that make a daemon allocate gigabytes.
TEST(odd_records, a_submission_out_of_range_is_unreadable)
{
    for (std::string const fields :
         {R"("count":1,"after":[1])", R"("count":1,"after":[2])",
          R"("count":1,"after":[-1])", R"("count":1,"after":[4294967296])",
          R"("count":0)", R"("count":-1)", R"("count":4000000000)",
          R"("count":1,"millicores":-1)", R"("count":1,"memory_mb":1e18)",
          R"("count":1,"accelerators":9223372036854775807)",
          R"("count":1,"latency_target_ms":-5)",
          R"("count":1,"estimate_ms":-5)", R"("count":1,"max_per_worker":-1)"})
    {
        expect_unreadable(record_kind::submission, submission_with(fields));
    }
    expect_unreadable(record_kind::submission,
                      R"({"id":"00000000000000a1","steps":[]})");
    expect_unreadable(record_kind::submission, R"({"id":"00000000000000a1"})");
    expect_unreadable(
        record_kind::submission,
        R"({"id":"00000000000000a1","repeat_count":4000000000,"steps":[{"count":1}]})");
    expect_unreadable(
        record_kind::submission,
        R"({"id":"00000000000000a1","first_due_ms":9223372036854775807,"steps":[{"count":1}]})");
    std::string many;
    for (auto i = 0; i < 3; ++i)
    {
        many += many.empty() ? R"({"count":5000})" : R"(,{"count":5000})";
    }
    expect_unreadable(record_kind::submission,
                      R"({"id":"00000000000000a1","steps":[)" + many + "]}");
}

// Guards against numbers of runs that overflow when the next run is numbered,
// and against times that overflow in differences.
TEST(odd_records, progress_out_of_range_is_unreadable)
{
    for (std::string const task :
         {R"([[],-1,0,"",""])", R"([[],0,-1,"",""])",
          R"([[],0,9223372036854775807,"",""])",
          R"([[],9223372036854775807,0,"",""])", R"([[-1],0,0,"",""])",
          R"([[],0,1e300,"",""])", "2", "-1"})
    {
        expect_unreadable(record_kind::progress, progress_with(task));
    }
    for (std::string const time : {"-1", "9223372036854775807", "1e18"})
    {
        expect_unreadable(record_kind::progress,
                          R"({"id":"00000000000000a1","ended_ms":)" + time
                              + "}");
    }
}

// Guards against figures of another writer that overflow, or for which a
// conversion is undefined, in a decision long after they were read.
TEST(odd_records, other_figures_out_of_range_are_unreadable)
{
    for (std::string const shards :
         {"0", "-1", "65", "4000000000", "4294967297", "1e300"})
    {
        expect_unreadable(record_kind::layout, "{\"shards\":" + shards + "}");
    }
    expect_unreadable(record_kind::layout, "{}");
    for (std::string const share : {"-1", "1e300", "\"x\"", "1e9"})
    {
        expect_unreadable(record_kind::member,
                          R"({"node":"d1","address":"10.0.0.1:7000",)"
                          R"("cpu_share":)"
                              + share + "}");
    }
    for (std::string const number :
         {"-1", "9223372036854775807", "18446744073709551615", "1e300"})
    {
        expect_unreadable(record_kind::serial, "{\"value\":" + number + "}");
        expect_unreadable(record_kind::owner,
                          R"({"node":"d1","address":"10.0.0.1:7000","term":)"
                              + number + "}");
        expect_unreadable(record_kind::relocation,
                          R"({"id":"00000000000000a1","to":1,"decided_ms":)"
                              + number + "}");
        expect_unreadable(record_kind::relocation,
                          R"({"id":"00000000000000a1","to":)" + number + "}");
    }
    expect_unreadable(record_kind::relocation,
                      R"({"id":"00000000000000a1","to":64})");
    expect_unreadable(record_kind::assignment, R"({"worker":"a","shard":64})");
    expect_unreadable(record_kind::assignment, R"({"shard":1})");
    for (std::string const task :
         {R"("00000000000000a1.0.0.1")", R"(["00000000000000a1",0,0])",
          R"(["",0,0,1])", R"(["00000000000000a1",-1,0,1])",
          R"(["00000000000000a1",0,0,1.5])",
          R"(["00000000000000a1",0,0,9007199254740993])"})
    {
        expect_unreadable(record_kind::task_assignment,
                          R"({"task":)" + task + R"(,"home":1,"shard":2})");
    }
    expect_unreadable(
        record_kind::task_assignment,
        R"({"task":["00000000000000a1",0,0,1],"home":64,"shard":2})");
    expect_unreadable(
        record_kind::task_assignment,
        R"({"task":["00000000000000a1",0,0,1],"home":1,"shard":2,"run_base":9007199254740992})");
    for (std::string const weight :
         {"[1e300,1]", "[1,-1]", "[1,1e300]", "[-1e300,0]"})
    {
        expect_unreadable(record_kind::interference,
                          R"({"weights":{"a":{"b":)" + weight + "}}}");
    }
    expect_unreadable(record_kind::roster, R"({"nodes":[""]})");
    expect_unreadable(record_kind::roster, R"({"nodes":["a\nb"]})");
}

// Guards against a datagram with figures that overflow, that make a shard seem
// to have no owner for ever, or that name a daemon without a name.
TEST(odd_records, figures_of_datagrams_are_bounded)
{
    for (std::string const field :
         {R"("shard":-1)", R"("shard":4294967296)", R"("revision":-1)",
          R"("term":-1)", R"("term":9223372036854775807)",
          R"("interval_ms":-1)", R"("interval_ms":0)",
          R"("interval_ms":9223372036854775807)", R"("node":"")",
          R"("node":"a\nb")"})
    {
        expect_unreadable_message(
            "{" + field
            + R"(,"type":"heartbeat","shard":0,"node":"d1","revision":5,)"
              R"("address":"10.0.0.1:7000","term":1,"interval_ms":150})");
    }
    for (std::string const age : {"-1", "9223372036854775807"})
    {
        expect_unreadable_message(
            R"({"type":"reply","node":"d1","store_age_ms":)" + age + "}");
        expect_unreadable_message(R"({"type":"sighting","node":"d1","age_ms":)"
                                  + age + "}");
    }
    auto const read = std::get<heartbeat>(decode_message(
        R"({"type":"heartbeat","node":"d1","address":"10.0.0.1:7000",)"
        R"("interval_ms":150,"firm_load":9223372036854775807,)"
        R"("opportunistic_load":-5})"));
    EXPECT_LE(read.load.firm, 1000000000000);
    EXPECT_EQ(read.load.opportunistic, 0);
}

// Guards against work that is stored under an ID that no caller can ask for.
TEST(odd_records, an_id_that_no_submission_can_have_is_refused)
{
    for (std::string const id :
         {"weekly/00000000000000a1", "weekly-00000000000000a1", "a1", "",
          "00000000000000g1", "00000000000000a12"})
    {
        auto const named = R"({"id":")" + id + R"(",)";
        expect_unreadable(record_kind::submission,
                          named + R"("queue":"q","steps":[{"count":1}]})");
        expect_unreadable(record_kind::progress, named + R"("tasks":[]})");
        expect_unreadable(record_kind::relocation, named + R"("to":1})");
        expect_unreadable(record_kind::cancellation,
                          named + R"("cancelled_ms":1})");
        expect_unreadable(record_kind::task_assignment,
                          R"({"task":[")" + id
                              + R"(",0,0,1],"home":1,"shard":2})");
    }
}

// Guards against recursion on the depth of an object, also inside a field that
// nobody reads, and against a text of odd bytes that fills the log.
TEST(odd_records, deep_nesting_and_huge_texts_are_refused_or_ignored)
{
    for (auto const& [kind, text] : valid_records())
    {
        auto const deep = nested(100000);
        auto const with_field =
            text.substr(0, text.size() - 1) + ",\"x\":" + deep + "}";
        EXPECT_NO_THROW(static_cast<void>(decode_record(kind, with_field)));
        expect_unreadable(kind, deep);
        expect_unreadable(kind, std::string(100000, '['));
    }
    try
    {
        static_cast<void>(
            decode_message("{\"type\":\"" + std::string(100000, 'x') + "\"}"));
        FAIL();
    }
    catch (codec_error const& error)
    {
        EXPECT_LT(std::string(error.what()).size(), 200U);
    }
}

// Guards against a field or element of a stored record that is used without a
// check: decoding ends with a record or with codec_error, whatever the text.
RC_GTEST_PROP(odd_records, any_record_is_read_or_refused, ())
{
    auto const [kind, valid] = *rc::gen::elementOf(valid_records());
    auto const text = mutated(valid);
    try
    {
        // A record that is accepted can be written and read again.
        auto const record = decode_record(kind, text);
        static_cast<void>(decode_record(kind, encode_record(record)));
    }
    catch (codec_error const&)
    {
        RC_TAG("refused");
    }
}

// The same for a datagram.
RC_GTEST_PROP(odd_records, any_message_is_read_or_refused, ())
{
    auto const text = mutated(*rc::gen::elementOf(valid_messages()));
    try
    {
        auto const message = decode_message(text);
        static_cast<void>(decode_message(encode_message(message)));
    }
    catch (codec_error const&)
    {
        RC_TAG("refused");
    }
}

} // namespace jaydrift::codec
