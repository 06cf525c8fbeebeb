#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/batch_record.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <variant>

namespace jaydrift::decide {

namespace {

shard_id const shard{"north", 1};

/// Store with compare-and-swap.
class ring_store
{
public:
    store_reply answer(store_request const& request)
    {
        if (auto const* const put = std::get_if<put_request>(&request))
        {
            return write(*put);
        }
        store_reply reply;
        reply.revision = revision_;
        auto const& prefix = std::get<read_request>(request).prefix;
        for (auto const& [key, entry] : entries_)
        {
            if (key.starts_with(prefix))
            {
                reply.entries.push_back(entry);
            }
        }
        return reply;
    }

    bool holds(std::string_view text) const
    {
        for (auto const& [key, entry] : entries_)
        {
            if (entry.value.find(text) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }

    std::size_t writes() const { return writes_; }

private:
    store_reply write(put_request const& put)
    {
        store_reply reply;
        auto& entry = entries_[put.key];
        reply.revision = entry.revision;
        if (put.expected_revision != entry.revision)
        {
            reply.outcome = store_outcome::conflict;
            return reply;
        }
        ++writes_;
        entry = {put.key, put.value, ++revision_, put.token};
        reply.revision = revision_;
        return reply;
    }

    std::map<std::string, store_entry> entries_;
    std::uint64_t revision_ = 0;
    std::size_t writes_ = 0;
};

daemon_settings settings_of(std::string daemon)
{
    daemon_settings settings;
    settings.self = {std::move(daemon), "127.0.0.1:1", "north", "arima"};
    settings.regions = {"north"};
    return settings;
}

/// Runs the journal of one owner; its calls wait until they are delivered.
class journal_owner
{
public:
    journal_owner(ring_store& store, std::string daemon, std::uint64_t epoch)
        : store_(store), state_(settings_of(std::move(daemon)))
    {
        run([&](context& step) { journal::load(step, shard, epoch); });
    }

    std::uint64_t append(std::string const& job)
    {
        std::uint64_t sequence = 0;
        submit_record record;
        record.spec.id = job;
        run([&](context& step) {
            sequence = journal::append(step, shard, encode(record));
        });
        // As a submission does, so that a durable record becomes a job.
        state_.batch.shards[shard].pending[sequence].record = record;
        return sequence;
    }

    void advance(std::int64_t duration)
    {
        now_ += time_ms(duration);
        run([](context& step) { journal::on_timer(step); });
    }

    /// Lets the store answer every call in flight.
    void deliver()
    {
        while (!calls_.empty())
        {
            auto const call = take();
            reply(call, store_.answer(call.request));
        }
    }

    /// The store acts on the call, but the answer is lost.
    void lose_answer()
    {
        auto const call = take();
        store_.answer(call.request);
        fail(call, false);
    }

    void fail(send_store const& call, bool never_sent)
    {
        run([&](context& step) {
            journal::on_store_failed(step, {call.correlation, never_sent});
        });
    }

    send_store take()
    {
        auto call = calls_.at(0);
        calls_.pop_front();
        return call;
    }

    /// Lets time pass, with the store answering at once.
    void settle(std::int64_t duration = 30'000)
    {
        for (std::int64_t passed = 0; passed < duration; passed += 250)
        {
            advance(250);
            deliver();
        }
    }

    bool withdraw(std::uint64_t sequence)
    {
        bool result = false;
        run([&](context& step) {
            result = journal::withdraw(step, shard, sequence);
        });
        return result;
    }

    bool ready() const { return journal::ready(state_, shard); }

    std::size_t calls() const { return calls_.size(); }

    std::size_t jobs() const
    {
        return state_.batch.shards.at(shard).table.jobs.size();
    }

    bool knows(std::string const& job) const
    {
        auto const found = state_.batch.shards.find(shard);
        return found != state_.batch.shards.end()
               && found->second.table.jobs.contains(job);
    }

private:
    template<class Action>
    void run(Action action)
    {
        effect_list effects;
        context step{state_, now_, effects};
        action(step);
        for (auto const& effect : effects)
        {
            if (auto const* const call = std::get_if<send_store>(&effect))
            {
                calls_.push_back(*call);
            }
        }
    }

    void reply(send_store const& call, store_reply const& answer)
    {
        run([&](context& step) {
            journal::on_store_replied(step, {call.correlation, answer});
        });
    }

    ring_store& store_;
    daemon_state state_;
    time_ms now_{1000};
    std::deque<send_store> calls_;
};

// Guards against reporting or repeating a write whose answer was lost.
TEST(journal, lost_answer_of_a_write_that_took_effect)
{
    ring_store store;
    journal_owner owner(store, "a", 1);
    owner.settle();
    auto const before = store.writes();
    owner.append("job");
    owner.advance(1000);
    owner.lose_answer();
    EXPECT_FALSE(owner.knows("job"));
    owner.settle();
    EXPECT_TRUE(owner.knows("job"));
    EXPECT_EQ(store.writes(), before + 1);
}

// Guards against two copies of a write that was late, not lost.
TEST(journal, late_write_and_its_repeat_take_effect_once)
{
    ring_store store;
    journal_owner owner(store, "a", 1);
    owner.settle();
    auto const before = store.writes();
    owner.append("job");
    owner.advance(1000);
    auto const late = owner.take();
    owner.fail(late, false);
    owner.advance(2000); // Reads the key back: not written.
    owner.deliver();
    store.answer(late.request);
    EXPECT_FALSE(owner.knows("job"));
    owner.settle();
    EXPECT_TRUE(owner.knows("job"));
    EXPECT_EQ(store.writes(), before + 1);
}

// Guards against a paused owner that writes after its successor has read.
TEST(journal, append_of_a_deposed_owner_is_refused)
{
    ring_store store;
    journal_owner first(store, "a", 1);
    first.settle();
    first.append("early");
    first.settle();
    journal_owner second(store, "b", 2);
    second.settle();
    EXPECT_TRUE(second.knows("early"));
    first.append("late");
    first.settle();
    EXPECT_FALSE(first.ready());
    EXPECT_FALSE(store.holds("late"));
    second.append("next");
    second.settle();
    EXPECT_TRUE(second.knows("next"));
}

// Guards against losing a record that the previous owner wrote between the
// successor's read and its epoch record.
TEST(journal, write_before_the_epoch_record_is_read_again)
{
    ring_store store;
    journal_owner first(store, "a", 1);
    first.settle();
    journal_owner second(store, "b", 2);
    second.advance(0);
    second.deliver(); // Has read; the epoch record was not sent yet.
    EXPECT_FALSE(second.ready());
    first.append("between");
    first.settle();
    EXPECT_TRUE(first.knows("between"));
    second.settle();
    EXPECT_TRUE(second.knows("between"));
}

// Guards against an owner that comes back with an old epoch.
TEST(journal, lower_epoch_does_not_load)
{
    ring_store store;
    journal_owner(store, "b", 2).settle();
    journal_owner first(store, "a", 1);
    first.settle();
    EXPECT_FALSE(first.ready());
}

// Guards against records that are lost when the ring of 64 slots wraps.
TEST(journal, ring_wraps_with_a_snapshot)
{
    ring_store store;
    journal_owner first(store, "a", 1);
    first.settle();
    for (int number = 0; number < 200; ++number)
    {
        first.append("job-" + std::to_string(number));
        first.settle(1500);
    }
    EXPECT_EQ(first.jobs(), 200U);
    journal_owner second(store, "b", 2);
    second.settle();
    EXPECT_EQ(second.jobs(), 200U);
}

// Guards against a ring that fills with epoch records of short-lived owners.
TEST(journal, many_takeovers_without_records)
{
    ring_store store;
    {
        journal_owner first(store, "a", 1);
        first.settle();
        first.append("job");
        first.settle();
    }
    for (std::uint64_t epoch = 2; epoch < 150; ++epoch)
    {
        journal_owner next(store, "b", epoch);
        // Stops at once, so that it has no time for a snapshot of its own.
        for (int tries = 0; tries < 5 && !next.ready(); ++tries)
        {
            next.advance(500);
            next.deliver();
        }
        ASSERT_TRUE(next.ready()) << epoch;
        ASSERT_TRUE(next.knows("job")) << epoch;
    }
}

// Guards against more than 2 writes a second or more than one in flight.
TEST(journal, groups_commits)
{
    ring_store store;
    journal_owner owner(store, "a", 1);
    owner.settle();
    auto const before = store.writes();
    for (int number = 0; number < 200; ++number)
    {
        owner.append("job-" + std::to_string(number));
        owner.advance(50);
        EXPECT_LE(owner.calls(), 1U);
        owner.deliver();
    }
    EXPECT_LE(store.writes() - before, 21U);
    owner.settle();
    EXPECT_EQ(owner.jobs(), 200U);
}

// Guards against a record that is refused although it may have been written.
TEST(journal, only_a_write_that_was_never_sent_is_withdrawn)
{
    ring_store store;
    journal_owner owner(store, "a", 1);
    owner.settle();
    auto const first = owner.append("sent");
    owner.advance(1000);
    auto const behind = owner.append("behind");
    EXPECT_FALSE(owner.withdraw(first));
    EXPECT_TRUE(owner.withdraw(behind));
    owner.fail(owner.take(), false);
    EXPECT_FALSE(owner.withdraw(first));
    owner.settle();
    EXPECT_TRUE(owner.knows("sent"));
    EXPECT_FALSE(store.holds("behind"));

    auto const unsent = owner.append("unsent");
    owner.advance(1000);
    owner.fail(owner.take(), true);
    EXPECT_TRUE(owner.withdraw(unsent));
    owner.settle();
    EXPECT_FALSE(store.holds("unsent"));
}

// Guards against giving up on the journal while the store is out.
TEST(journal, load_retries_while_the_store_is_out)
{
    ring_store store;
    journal_owner owner(store, "a", 1);
    for (int attempt = 0; attempt < 10; ++attempt)
    {
        owner.advance(8000);
        ASSERT_EQ(owner.calls(), 1U);
        owner.fail(owner.take(), attempt % 2 == 0);
        EXPECT_FALSE(owner.ready());
    }
    owner.settle();
    EXPECT_TRUE(owner.ready());
}

} // namespace

} // namespace jaydrift::decide
