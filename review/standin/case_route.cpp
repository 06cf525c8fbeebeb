// The operator replaces a route by one of another name with the same host,
// prefix and service while its accepted work runs; then the owner is killed.

#include "platform.hpp"
#include "rules.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

int main(int, char** argv)
{
    using namespace review;
    deployment test(3, argv[1]);
    for (int i = 1; i <= 4; ++i)
    {
        test.add_worker("i-000" + std::to_string(i), {"a", "r1-1"}, 16000);
    }
    test.configure({"plan", "tally"});
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
    // Three steps, one after the other: 6 s of work for 4 of 64 cores.
    auto const step =
        std::string(R"("count":4,"cpu":1000,"memMb":100,"estimateMs":2000)");
    auto const body = R"({"spec":"d=2000 c=1000 m=100","steps":[{)" + step
                      + "},{" + step + R"(,"after":[0]},{)" + step
                      + R"(,"after":[1]}]})";
    auto const id = submission_id(1);
    if (!test.submit("plan", id, body))
    {
        record("the submission was not accepted");
        return 2;
    }
    pause_ms(500);
    test.configure({"plan-2=plan", "tally"});
    // In force everywhere after configApplyMs, 2.5 s.
    pause_ms(3000);
    auto const owner = test.owner();
    if (owner >= test.daemons.size())
    {
        record("there is no owner");
        return 2;
    }
    if (trouble())
    {
        test.daemons[owner]->signal(SIGKILL);
        test.daemons[owner]->wait();
        pause_ms(1200);
        test.daemons[owner]->start();
    }
    else
    {
        pause_ms(1200);
    }
    // Traffic goes on in another queue, for longer than the work takes.
    constexpr std::int64_t traffic_ms = 10000;
    auto const until = now_ms() + traffic_ms;
    auto const other =
        R"({"spec":"d=300 c=1000 m=100","steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":300}]})";
    unsigned accepted = 0;
    unsigned sent = 0;
    while (now_ms() < until)
    {
        ++sent;
        accepted +=
            test.submit("tally", submission_id(100 + sent), other, 2) ? 1 : 0;
        pause_ms(1000);
    }
    // The bound finish_s, counted from the end of the traffic.
    constexpr std::int64_t finish_ms = 14000;
    pause_ms(finish_ms);
    // LOST: for 3 s nothing of it runs while a task's turn has come and there
    // is capacity for it twice over.
    std::size_t done = 0;
    std::size_t used = 0;
    for (int i = 0; i < 30; ++i)
    {
        test.run([&] {
            std::size_t running = 0;
            for (auto const& each : test.workers)
            {
                running += each->used_millicores() > 0 ? 1 : 0;
            }
            used = std::max(used, running);
        });
        pause_ms(100);
    }
    std::size_t others_done = 0;
    test.run([&] {
        for (auto const& each : test.events)
        {
            auto const counts =
                each.kind == run_event::kind_of::end && each.how == "done";
            done += counts && each.task.starts_with(id) ? 1 : 0;
            others_done += counts && !each.task.starts_with(id) ? 1 : 0;
        }
    });
    record(std::to_string(done) + " of 12 tasks of the accepted submission "
           + "are done, " + std::to_string(used)
           + " workers were at work in the last 3 s; of the other queue, "
           + std::to_string(accepted) + " of " + std::to_string(sent)
           + " were accepted and " + std::to_string(others_done)
           + " tasks are done");
    auto const answer = test.call((owner + 1) % 3, "GET", "/plan/" + id);
    std::cout << done << " of 12 tasks done, state " << answer.body << '\n';
    if (accepted == 0 || others_done == 0)
    {
        return 2;
    }
    return done < 12 && used == 0 ? 1 : 0;
}
