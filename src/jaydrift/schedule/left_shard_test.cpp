#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/layout.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule::testing {

// Guards against tasks that run again after their end was acknowledged: another
// writer ruins the record that assigns their worker, and the shard that has the
// worker then acknowledges the ends of tasks that it does not know.
TEST(left_shard, ends_of_its_tasks_are_not_acknowledged_by_another_shard)
{
    constexpr std::uint32_t shards = 2;
    constexpr std::uint32_t tasks = 24;
    checked_deployment deployment(3, 4, 821, shards);
    auto& worker = deployment.worker(0);
    auto const hashed = layout::first_shard_of(worker.entry().id, shards);
    auto const home = 1 - hashed;
    record_key const key{record_kind::assignment, worker.entry().id};
    deployment.store.put(key, assignment_record{worker.entry().id, home, 0});
    deployment.run_until(time_ms(4000));
    auto number = 1;
    while (layout::first_shard_of(id_of(number), shards) != home)
    {
        ++number;
    }
    deployment.submit(0, id_of(number), chain_of({tasks}));
    deployment.run_until(deployment.now() + time_ms(250));
    ASSERT_TRUE(deployment.last_start(worker.entry().id));
    worker.reachable = false;
    deployment.run_until(deployment.now() + time_ms(1200));
    deployment.store.put(key, unreadable_record{"another writer"});
    deployment.run_until(deployment.now() + time_ms(500));
    worker.reachable = true;
    deployment.run_until(deployment.now() + time_ms(12000));
    EXPECT_EQ(deployment.show(0, id_of(number)).phase,
              submission_phase::completed);
}

} // namespace jaydrift::schedule::testing
