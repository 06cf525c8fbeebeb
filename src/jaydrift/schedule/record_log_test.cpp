#include <jaydrift/schedule/record_log.hpp>

#include "sample_work_test.hpp"

#include <jaydrift/schedule/effect.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

/// An owner's record log and a store whose replies take a given time. A call
/// ends as lost at its time limit.
class logging_owner
{
public:
    explicit logging_owner(time_ms reply_time) : reply_time_(reply_time)
    {
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        shard().ownership.revision = 1;
    }

    shard_state& shard() { return state_.shards[0]; }

    submission_state& add(int number)
    {
        submission_state* added = nullptr;
        with_context([&](shard_context& ctx) {
            added = &submissions::add(
                ctx, {id_of(number), "queue", now_, chain_of({2})});
            record_log::changed(ctx, *added);
        });
        return *added;
    }

    void change(submission_state& submission)
    {
        with_context(
            [&](shard_context& ctx) { record_log::changed(ctx, submission); });
    }

    /// Lists a worker, or changes its entry.
    void list(std::string const& worker, std::string const& address)
    {
        with_context([&](shard_context& ctx) {
            worker_entry entry;
            entry.id = worker;
            entry.address = address;
            workers::entry_changed(ctx, entry);
        });
    }

    /// Adds a worker of which only a run is known, as a recovery does.
    void add_without_address(std::string const& worker)
    {
        auto& added = shard().workers[worker];
        added.entry.id = worker;
        added.listed = false;
    }

    bool may_get_tasks(std::string const& worker)
    {
        return shard().workers.at(worker).in_fleet_record;
    }

    /// Address in the last fleet record that was sent; empty if there is none.
    std::string stored_address(std::string const& worker) const
    {
        auto const found = sent_fleet_.addresses.find(worker);
        return found == sent_fleet_.addresses.end() ? "" : found->second;
    }

    /// Changes a submission for a caller that waits until it is stored.
    void change_for_caller(submission_state& submission)
    {
        with_context([&](shard_context& ctx) {
            record_log::changed_with_waiting_caller(ctx, submission);
        });
        submission.waiters.emplace_back(1, submission.version);
    }

    void advance(time_ms duration)
    {
        for (auto const end = now_ + duration; now_ < end; now_ += time_ms(1))
        {
            with_context([](shard_context& ctx) { record_log::tick(ctx); });
            answer_if_due();
        }
    }

    /// IDs of the submissions in each transaction that was sent.
    std::vector<std::vector<std::string>> sent;

private:
    template<class Action>
    void with_context(Action action)
    {
        effect_list effects;
        shard_context ctx(context{state_, now_, effects}, shard());
        action(ctx);
        take(effects);
    }

    void take(effect_list const& effects)
    {
        for (auto const& each : effects)
        {
            auto const* const call = std::get_if<store_call>(&each);
            if (!call)
            {
                continue;
            }
            auto& ids = sent.emplace_back();
            for (auto const& [key, record] :
                 std::get<store_transaction>(call->request).puts)
            {
                if (key.kind == record_kind::progress)
                {
                    ids.push_back(key.name);
                }
                if (auto const* const fleet =
                        std::get_if<fleet_record>(&record))
                {
                    sent_fleet_ = *fleet;
                }
            }
            pending_ = {call->call,
                        now_ + std::min(reply_time_, call->time_limit)};
            in_time_ = reply_time_ < call->time_limit;
        }
    }

    void answer_if_due()
    {
        if (pending_ && now_ >= pending_->second)
        {
            store_replied reply;
            reply.call = pending_->first;
            reply.status = in_time_ ? store_status::ok : store_status::lost;
            reply.revision = ++revision_;
            pending_.reset();
            with_context(
                [&](shard_context& ctx) { record_log::replied(ctx, reply); });
        }
    }

    daemon_state state_;
    fleet_record sent_fleet_;
    time_ms now_{1000};
    time_ms reply_time_;
    std::optional<std::pair<std::uint64_t, time_ms>> pending_;
    bool in_time_ = true;
    std::uint64_t revision_ = 10;
};

using names = std::vector<std::string>;

} // namespace

// Guards against transactions that are sent again and again over a link that
// needs longer for them than the time limit, which keeps the link full.
TEST(record_log, a_slow_store_gets_each_transaction_about_once)
{
    logging_owner owner(time_ms(320));
    auto& submission = owner.add(1);
    owner.advance(time_ms(2000));
    owner.sent.clear();
    constexpr std::size_t rounds = 20;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        owner.change(submission);
        owner.advance(time_ms(700));
    }
    EXPECT_LE(owner.sent.size(), rounds + 1);
}

// Guards against a submission with many changes that is written more often than
// a slow link bears.
TEST(record_log, transactions_take_at_most_half_of_the_time)
{
    logging_owner owner(time_ms(120));
    auto& submission = owner.add(1);
    owner.advance(time_ms(1000));
    owner.sent.clear();
    constexpr int duration_ms = 2400;
    for (auto i = 0; i < duration_ms; ++i)
    {
        owner.change(submission);
        owner.advance(time_ms(1));
    }
    EXPECT_LE(owner.sent.size(), 11U);
    EXPECT_GE(owner.sent.size(), 8U);
}

// Guards against a caller that waits while a slow link carries the progress of
// other submissions, and against changes that are never written.
TEST(record_log, a_slow_store_gets_first_what_a_caller_waits_for)
{
    logging_owner owner(time_ms(120));
    auto& first = owner.add(1);
    auto& second = owner.add(2);
    owner.advance(time_ms(1000));
    owner.sent.clear();
    owner.change(first);
    owner.change_for_caller(second);
    owner.advance(time_ms(200));
    ASSERT_FALSE(owner.sent.empty());
    EXPECT_EQ(owner.sent.front(), names{second.id});
    owner.advance(time_ms(300));
    EXPECT_EQ(owner.sent.back(), names{first.id});
    EXPECT_EQ(first.stored_version, first.version);
    EXPECT_EQ(second.stored_version, second.version);
}

// Guards against a worker that is not used until the next change of another
// record: it was listed while a transaction without it was in flight.
TEST(record_log, a_worker_listed_during_a_transaction_is_stored_by_the_next)
{
    logging_owner owner(time_ms(120));
    owner.list("w1", "10.0.0.1:80");
    owner.add(1);
    owner.advance(time_ms(100));
    ASSERT_EQ(owner.sent.size(), 1U);
    owner.list("w2", "10.0.0.2:80");
    owner.advance(time_ms(1000));
    EXPECT_TRUE(owner.may_get_tasks("w1"));
    EXPECT_TRUE(owner.may_get_tasks("w2"));
    EXPECT_EQ(owner.stored_address("w2"), "10.0.0.2:80");
}

// Guards against a worker that is not used since its address became known only
// after a recovery had restored its runs.
TEST(record_log, a_worker_whose_address_becomes_known_is_stored)
{
    logging_owner owner(time_ms(5));
    owner.add_without_address("w1");
    owner.advance(time_ms(200));
    owner.list("w1", "10.0.0.1:80");
    owner.advance(time_ms(200));
    EXPECT_TRUE(owner.may_get_tasks("w1"));
    EXPECT_EQ(owner.stored_address("w1"), "10.0.0.1:80");
}

// Guards against a later owner that asks a worker for its runs at an address
// which the worker has left.
TEST(record_log, a_new_address_of_a_worker_is_stored_before_it_gets_tasks)
{
    logging_owner owner(time_ms(120));
    owner.list("w1", "10.0.0.1:80");
    owner.advance(time_ms(1000));
    ASSERT_TRUE(owner.may_get_tasks("w1"));
    owner.list("w1", "10.0.0.9:80");
    EXPECT_FALSE(owner.may_get_tasks("w1"));
    owner.advance(time_ms(1000));
    EXPECT_TRUE(owner.may_get_tasks("w1"));
    EXPECT_EQ(owner.stored_address("w1"), "10.0.0.9:80");
}

// Guards against a second transaction where the store is fast.
TEST(record_log, a_fast_store_gets_all_changes_with_those_of_a_caller)
{
    logging_owner owner(time_ms(5));
    auto& first = owner.add(1);
    auto& second = owner.add(2);
    owner.advance(time_ms(1000));
    owner.sent.clear();
    owner.change(first);
    owner.change_for_caller(second);
    owner.advance(time_ms(200));
    EXPECT_EQ(owner.sent, (std::vector<names>{{first.id, second.id}}));
}

} // namespace jaydrift::schedule::testing
