#include "random_faults_test.hpp"
#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/daemon_state.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr std::size_t workers = 4;

/// Changes must be in force everywhere this long after the store has
/// acknowledged them.
constexpr time_ms apply_limit{2500};

/// Lengths of a silence, and the step between its beginnings: a watch that
/// waits begins every second.
constexpr std::array<time_ms, 9> silences{
    time_ms(300),  time_ms(1000), time_ms(2000), time_ms(3000), time_ms(4000),
    time_ms(5000), time_ms(6250), time_ms(9000), time_ms(12000)};
constexpr time_ms phase_step{150};
constexpr time_ms watch_interval{1050};

/// A deployment in normal operation whose store falls silent for a time.
class silenced_deployment : public simulated_deployment
{
public:
    silenced_deployment(time_ms phase, time_ms silence, std::uint32_t shards)
        : simulated_deployment(daemons, workers, 61, shards)
    {
        run_until(time_ms(4000) + phase);
        fall_silent(silence);
    }

    void fall_silent(time_ms silence)
    {
        store_silent = true;
        run_until(now() + silence);
        store_silent = false;
    }

    /// Writes a configuration, as an operator does.
    void write_configuration(std::uint64_t version)
    {
        configuration next = *daemon(0).config;
        next.version = version;
        store.put({record_kind::configuration, {}}, next);
    }

    /// Lets a worker report that it drains.
    void drain(std::size_t number)
    {
        auto entry = worker(number).entry();
        entry.draining = true;
        store.put({record_kind::worker, entry.id}, entry);
    }

    /// Names the daemons whose configuration is older than a version.
    std::string daemons_before(std::uint64_t version) const
    {
        std::string result;
        for (std::size_t i = 0; i < daemons; ++i)
        {
            result += daemon(i).config->version < version
                          ? " d" + std::to_string(i)
                          : "";
        }
        return result;
    }

    /// Submits work until a time.
    void submit_until(time_ms end)
    {
        constexpr time_ms interval{100};
        while (now() < end)
        {
            submit(0, id_of(++submitted_), chain_of({8}));
            run_until(now() + interval);
        }
    }

private:
    int submitted_ = 0;
};

std::string text_of(time_ms phase, time_ms silence)
{
    return "silence of " + std::to_string(silence.count()) + " ms from phase "
           + std::to_string(phase.count()) + " ms:";
}

} // namespace

// Guards against a configuration that comes into force seconds late after the
// store was silent and has returned: a call that was sent meanwhile is never
// answered, and nothing else was sent before its time limit had passed.
TEST(silent_store, a_configuration_is_in_force_in_time_after_its_return)
{
    for (auto const silence : silences)
    {
        for (auto phase = time_ms(0); phase < watch_interval;
             phase += phase_step)
        {
            silenced_deployment deployment(phase, silence, 1);
            deployment.write_configuration(2);
            deployment.run_until(deployment.now() + apply_limit);
            EXPECT_EQ(deployment.daemons_before(2), "")
                << text_of(phase, silence);
        }
    }
}

// Guards against tasks that start on a draining worker for the same reason.
TEST(silent_store, nothing_starts_on_a_draining_worker_after_its_return)
{
    constexpr time_ms observed{9000};
    for (auto const silence : silences)
    {
        for (auto phase = time_ms(0); phase < watch_interval;
             phase += phase_step)
        {
            silenced_deployment deployment(phase, silence, 1);
            auto const drained = deployment.now();
            deployment.drain(0);
            deployment.submit_until(drained + observed);
            auto const last =
                deployment.last_start("w0").value_or(drained) - drained;
            EXPECT_LE(last.count(), apply_limit.count())
                << text_of(phase, silence);
            EXPECT_GT(deployment.last_start("w1"), drained + apply_limit)
                << text_of(phase, silence);
        }
    }
}

// Guards against changes that come late because one more call gets no answer
// after the store has returned.
TEST(silent_store, changes_are_in_force_in_time_if_one_more_call_is_lost)
{
    constexpr time_ms pause_step{100};
    constexpr time_ms last_pause{2000};
    constexpr time_ms blink{20};
    for (auto const silence : {time_ms(300), time_ms(5000), time_ms(9000)})
    {
        for (auto pause = time_ms(0); pause <= last_pause; pause += pause_step)
        {
            silenced_deployment deployment(time_ms(450), silence, 1);
            auto const returned = deployment.now();
            deployment.write_configuration(2);
            deployment.run_until(returned + pause);
            deployment.fall_silent(blink);
            deployment.run_until(returned + apply_limit);
            EXPECT_EQ(deployment.daemons_before(2), "")
                << text_of(time_ms(450), silence) << " and once more after "
                << pause.count();
        }
    }
}

// Guards against a successor that waits for a reply which never comes: it reads
// the submissions while the store falls silent.
TEST(silent_store, a_takeover_goes_on_after_its_return)
{
    for (auto const silence : silences)
    {
        simulated_deployment deployment(daemons, workers, 62, 1);
        deployment.run_until(time_ms(4000));
        deployment.kill(*deployment.owner());
        auto const recovers = [&deployment] {
            for (std::size_t i = 0; i < daemons; ++i)
            {
                auto const& shards = deployment.daemon(i).shards;
                if (!shards.empty()
                    && shards[0].ownership.role == owner_role::recovering)
                {
                    return true;
                }
            }
            return false;
        };
        while (!recovers() && deployment.now() < time_ms(9000))
        {
            deployment.run_until(deployment.now() + time_ms(1));
        }
        ASSERT_TRUE(recovers());
        deployment.store_silent = true;
        deployment.run_until(deployment.now() + silence);
        deployment.store_silent = false;
        deployment.run_until(deployment.now() + apply_limit);
        EXPECT_TRUE(deployment.owner())
            << "silence of " << silence.count() << " ms";
    }
}

// Guards against broken guarantees, and against changes that come late, if the
// store is silent for random times beside other faults.
RC_GTEST_PROP(silent_store, random_silences_beside_other_faults,
              (std::uint64_t seed))
{
    constexpr std::uint64_t silence_one_in = 4;
    constexpr std::uint64_t max_silence_ms = 12000;
    simulated_deployment deployment(daemons, 5, seed, 1);
    random_source faults(seed);
    random_source random(~seed);
    deployment.run_until(time_ms(2500));
    for (auto round = 1; round <= 12; ++round)
    {
        deployment.submit(
            faults.below(daemons), id_of(round),
            chain_of({static_cast<std::uint32_t>(1 + faults.below(8))}));
        random_fault(deployment, faults);
        deployment.store_silent = random.below(silence_one_in) == 0;
        deployment.run_until(
            deployment.now()
            + time_ms(static_cast<std::int64_t>(random.below(
                deployment.store_silent ? max_silence_ms : 1500))));
    }
    deployment.store_silent = false;
    end_faults(deployment);
    configuration next;
    next.version = 2;
    deployment.store.put({record_kind::configuration, {}}, next);
    deployment.run_until(deployment.now() + apply_limit);
    RC_ASSERT(deployment.violations == std::vector<std::string>());
    for (std::size_t i = 0; i < daemons; ++i)
    {
        RC_ASSERT(deployment.daemon(i).config.has_value());
        RC_ASSERT(deployment.daemon(i).config->version == 2U);
    }
}

} // namespace jaydrift::schedule::testing
