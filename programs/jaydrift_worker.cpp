#include <jaydrift/app/standin_main.hpp>
#include <jaydrift/app/worker_options.hpp>
#include <jaydrift/app/worker_process.hpp>

int main(int argc, char** argv)
{
    using namespace jaydrift::app;
    return standin_main<worker_options, worker_process>(
        "jaydrift-worker", JAYDRIFT_VERSION,
        "Simulates a worker of the platform, for tests and demonstrations.",
        argc, argv);
}
