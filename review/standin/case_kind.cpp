// A worker of a rare kind crashes, and its machine comes back as a new worker,
// in a deployment with two shards.

#include "platform.hpp"
#include "rules.hpp"

#include <jaydrift/core/hash.hpp>

#include <iostream>

namespace {

constexpr int workers = 100;
constexpr unsigned submissions = 6;

std::size_t shard_of(std::string const& id)
{
    return jaydrift::stable_hash(id) % 2;
}

} // namespace

int main(int, char** argv)
{
    using namespace review;
    // With 0.12 of a core, as the smaller VMs of the site have, the daemons
    // divide 100 workers into two shards.
    deployment test(3, argv[1], 0.12);
    for (int i = 1; i < workers; ++i)
    {
        test.add_worker("i-" + std::to_string(1000 + i), {"a", "r1-1"}, 16000);
    }
    auto& rare = test.add_worker("i-2000", {"b", "r1-2"}, 16000);
    test.configure({"plan"});
    for (auto const& each : test.daemons)
    {
        each->start();
    }
    if (!test.wait_ready(15000))
    {
        record("the daemons did not become ready");
        return 2;
    }
    pause_ms(4000);
    // 2 tasks of 6 s each that only the rare kind may run.
    auto const body =
        R"({"spec":"d=6000 c=1000 m=100","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":6000,"requires":"b"}]})";
    for (unsigned i = 0; i < submissions; ++i)
    {
        if (!test.submit("plan", submission_id(i), body))
        {
            record("a submission was not accepted");
            return 2;
        }
    }
    pause_ms(2000);
    if (trouble())
    {
        test.run([&] { rare.crash(); });
        pause_ms(4500);
        // IDs are arbitrary; that of the new life belongs to the other shard,
        // as every second one does.
        int number = 2001;
        while (shard_of("i-" + std::to_string(number)) == shard_of("i-2000"))
        {
            ++number;
        }
        test.add_worker("i-" + std::to_string(number), {"b", "r1-2"}, 16000);
    }
    else
    {
        pause_ms(4500);
    }
    // finish_s is 14 s after the end of the traffic; the work takes 6 s.
    pause_ms(20000);
    std::size_t used = 0;
    for (int i = 0; i < 30; ++i)
    {
        test.run([&] {
            for (auto const& each : test.workers)
            {
                used += each->running();
            }
        });
        pause_ms(100);
    }
    unsigned completed = 0;
    for (unsigned i = 0; i < submissions; ++i)
    {
        auto const answer =
            test.call(i % 3, "GET", "/plan/" + submission_id(i));
        completed += answer.body.find("completed") != std::string::npos ? 1 : 0;
    }
    record(std::to_string(completed) + " of " + std::to_string(submissions)
           + " submissions are completed; " + std::to_string(used)
           + " runs were seen in the last 3 s");
    std::cout << completed << " of " << submissions << " completed, " << used
              << " runs in the last 3 s\n";
    return completed < submissions && used == 0 ? 1 : 0;
}
