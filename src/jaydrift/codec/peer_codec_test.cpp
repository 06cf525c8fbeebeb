#include <jaydrift/codec/peer_codec.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <variant>

namespace jaydrift::codec {

namespace {

using namespace schedule;

/// Receivers cut longer datagrams off.
constexpr std::size_t max_datagram_bytes = 2048;

constexpr char const* id = "00000000000000a1";

template<class Message>
Message passed_on(Message const& message)
{
    auto const bytes = encode_message(message);
    EXPECT_LE(bytes.size(), max_datagram_bytes);
    return std::get<Message>(decode_message(bytes));
}

} // namespace

TEST(peer_codec, a_room_request_arrives_as_it_was_sent)
{
    room_request sent{1, "edge-hsinchu-2", 41633, 4, {}};
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        sent.demands.push_back({{id, 0, 1, 1000 + i},
                                "inspect-hub",
                                "label",
                                {20000, 21872, 1},
                                2});
    }
    auto const received = passed_on(sent);
    EXPECT_EQ(received.shard, sent.shard);
    EXPECT_EQ(received.node, sent.node);
    EXPECT_EQ(received.revision, sent.revision);
    EXPECT_EQ(received.asking_shard, sent.asking_shard);
    ASSERT_EQ(received.demands.size(), sent.demands.size());
    auto const& demand = received.demands.back();
    EXPECT_EQ(demand.task, sent.demands.back().task);
    EXPECT_EQ(demand.service, "inspect-hub");
    EXPECT_EQ(demand.required_label, "label");
    EXPECT_EQ(demand.demand.millicores, 20000);
    EXPECT_EQ(demand.demand.memory_mb, 21872);
    EXPECT_EQ(demand.demand.accelerators, 1);
    EXPECT_EQ(demand.max_per_worker, 2U);
}

TEST(peer_codec, offers_and_refusals_of_room_arrive_as_they_were_sent)
{
    room_offer offer{1, "edge-hsinchu-2", 41633, 4, {}};
    for (std::uint32_t i = 0; i < 50; ++i)
    {
        offer.tasks.push_back({id, 0, 1, i});
    }
    auto const offered = passed_on(offer);
    EXPECT_EQ(offered.offering_shard, 4U);
    EXPECT_EQ(offered.tasks, offer.tasks);
    auto const refused =
        passed_on(room_refusal{4, "edge-hsinchu-3", 41634, offer.tasks});
    EXPECT_EQ(refused.shard, 4U);
    EXPECT_EQ(refused.tasks, offer.tasks);
}

TEST(peer_codec, assignments_of_tasks_arrive_as_they_were_sent)
{
    tasks_assigned sent{1, "edge-hsinchu-2", 41633, {}};
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        sent.records.push_back(
            {{id, 0, 1, i}, 4, 5, 41600, 17, 17825793, time_ms(12116)});
    }
    EXPECT_EQ(passed_on(sent).records, sent.records);
}

} // namespace jaydrift::codec
