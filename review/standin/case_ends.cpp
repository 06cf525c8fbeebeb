// Many short tasks end on a worker while the store is out.

#include "platform.hpp"
#include "rules.hpp"

#include <iostream>

namespace {

constexpr unsigned submissions = 100;

/// The largest width of a step in the site file.
constexpr int tasks = 36;

/// Largest dose in the site file: platform_down, for_s = 4.5.
constexpr std::int64_t outage_ms = 4500;

} // namespace

int main(int, char** argv)
{
    using namespace review;
    deployment test(3, argv[1]);
    for (int i = 1; i <= 3; ++i)
    {
        test.add_worker("i-000" + std::to_string(i), {"a", "r1-1"});
    }
    test.configure({"triage"});
    for (auto const& each : test.daemons)
    {
        each->start();
    }
    if (!test.wait_ready(15000))
    {
        record("the daemons did not become ready");
        return 2;
    }
    pause_ms(3000);
    auto const body = R"({"spec":"d=1500 c=200 m=50","steps":[{"count":)"
                      + std::to_string(tasks)
                      + R"(,"cpu":200,"memMb":50,"estimateMs":1500}]})";
    for (unsigned i = 0; i < submissions; ++i)
    {
        if (!test.submit("triage", submission_id(i), body))
        {
            record("a submission was not accepted");
            return 2;
        }
    }
    if (trouble())
    {
        record("the store stops answering");
        test.run([&] { test.platform_store->mode = store_mode::silent; });
        pause_ms(outage_ms);
        test.run([&] { test.platform_store->mode = store_mode::normal; });
        record("the store answers again");
    }
    else
    {
        pause_ms(outage_ms);
    }
    std::size_t unfinished = submissions;
    for (auto const until = now_ms() + 40000;
         unfinished > 0 && now_ms() < until;)
    {
        pause_ms(500);
        auto const answer =
            test.call(0, "GET", "/triage/" + submission_id(unfinished - 1));
        unfinished -=
            answer.body.find("completed") != std::string::npos ? 1 : 0;
        while (
            unfinished > 0
            && test.call(0, "GET", "/triage/" + submission_id(unfinished - 1))
                       .body.find("completed")
                   != std::string::npos)
        {
            --unfinished;
        }
    }
    pause_ms(2000);
    std::size_t broken = 0;
    std::size_t starts = 0;
    test.run([&] {
        broken = count_twice(test.events);
        for (auto const& each : test.events)
        {
            starts += each.kind == run_event::kind_of::start ? 1 : 0;
        }
    });
    record(std::to_string(submissions * tasks) + " tasks, "
           + std::to_string(starts) + " starts, " + std::to_string(unfinished)
           + " submissions not completed, " + std::to_string(broken)
           + " starts break TWICE");
    std::cout << starts << " starts of " << submissions * tasks << " tasks, "
              << broken << " break TWICE\n";
    return broken > 0 ? 1 : 0;
}
