// A daemon stands still while it receives a submission. The client gets no
// answer in time and cancels; then the daemon goes on.

#include "platform.hpp"
#include "rules.hpp"

#include <csignal>
#include <iostream>

namespace {

/// Largest dose in the site file: node_freeze, for_s = 4.0.
constexpr std::int64_t freeze_ms = 4000;

/// The bound cancel_ms.
constexpr std::int64_t cancel_ms = 3000;

} // namespace

int main(int, char** argv)
{
    using namespace review;
    deployment test(3, argv[1]);
    for (int i = 1; i <= 4; ++i)
    {
        test.add_worker("i-000" + std::to_string(i), {"a", "r1-1"}, 16000);
    }
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
    pause_ms(3000);
    auto const owner = test.owner();
    if (owner >= test.daemons.size())
    {
        record("there is no owner");
        return 2;
    }
    auto const called = (owner + 1) % 3;
    auto const other = (owner + 2) % 3;
    auto const step =
        std::string(R"("count":2,"cpu":1000,"memMb":100,"estimateMs":2000)");
    auto const body = R"({"spec":"d=2000 c=1000 m=100","steps":[{)" + step
                      + "},{" + step + R"(,"after":[0]},{)" + step
                      + R"(,"after":[1]}]})";
    auto const path = "/plan/" + submission_id(1);
    auto const began = now_ms();
    if (trouble())
    {
        test.daemons[called]->signal(SIGSTOP);
    }
    auto const submitted = test.call(called, "POST", path, body);
    auto const cancelled = test.call(other, "DELETE", path);
    auto const cancelled_at = now_ms();
    if (trouble())
    {
        pause_ms(began + freeze_ms - now_ms());
        test.daemons[called]->signal(SIGCONT);
    }
    auto const acknowledged =
        cancelled.status == 410
        || (cancelled.status >= 200 && cancelled.status < 300);
    if (!acknowledged || (trouble() && submitted.status != 0))
    {
        record("the calls were not answered as the case expects");
        return 2;
    }
    pause_ms(14000);
    std::size_t late = 0;
    test.run([&] {
        for (auto const& each : test.events)
        {
            if (each.kind == run_event::kind_of::start
                && each.at > cancelled_at + cancel_ms)
            {
                ++late;
                record("UNASKED " + each.task + " starts on " + each.worker
                       + " at " + std::to_string(each.at)
                       + ", the cancelling was acknowledged at "
                       + std::to_string(cancelled_at));
            }
        }
    });
    test.call(other, "GET", path);
    std::cout << "POST " << submitted.status << ", DELETE " << cancelled.status
              << ", " << late << " starts later than cancel_ms\n";
    return late > 0 ? 1 : 0;
}
