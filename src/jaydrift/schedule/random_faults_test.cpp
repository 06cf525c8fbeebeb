#include "random_faults_test.hpp"

#include "simulated_deployment_test.hpp"

#include <jaydrift/core/random.hpp>

namespace jaydrift::schedule::testing {

void random_fault(simulated_deployment& deployment, random_source& random)
{
    constexpr std::size_t workers = 5;
    auto const daemon = random.below(3);
    auto const worker = random.below(workers);
    switch (random.below(9))
    {
    case 0:
        deployment.kill(daemon);
        deployment.start(daemon);
        break;
    case 1:
        deployment.store_up = !deployment.store_up;
        break;
    case 2:
        deployment.lost_percent = random.below(40);
        break;
    case 3:
        deployment.late_percent = random.below(10);
        break;
    case 4:
        deployment.worker(worker).reachable =
            !deployment.worker(worker).reachable;
        break;
    case 5:
        deployment.crash(worker, time_ms(static_cast<std::int64_t>(
                                     800 + random.below(1000))));
        break;
    case 6:
        if (!deployment.daemons_without_store.erase(daemon))
        {
            deployment.daemons_without_store.insert(daemon);
        }
        break;
    case 7:
        if (deployment.cut_daemons.empty())
        {
            deployment.cut_daemons = {daemon, (daemon + 1) % 3};
            deployment.cut_workers = {worker};
        }
        else
        {
            deployment.cut_daemons.clear();
            deployment.cut_workers.clear();
        }
        break;
    default:
        deployment.worker(worker).failing_percent = random.below(30);
        break;
    }
}

void end_faults(simulated_deployment& deployment)
{
    deployment.store_up = true;
    deployment.lost_percent = 0;
    deployment.late_percent = 0;
    deployment.daemons_without_store.clear();
    deployment.cut_daemons.clear();
    deployment.cut_workers.clear();
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).reachable = true;
    }
}

} // namespace jaydrift::schedule::testing
