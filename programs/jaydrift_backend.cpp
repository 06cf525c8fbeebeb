#include <jaydrift/app/backend_options.hpp>
#include <jaydrift/app/backend_process.hpp>
#include <jaydrift/app/standin_main.hpp>

int main(int argc, char** argv)
{
    using namespace jaydrift::app;
    return standin_main<backend_options, backend_process>(
        "jaydrift-backend", JAYDRIFT_VERSION,
        "Simulates a backend server, for tests and demonstrations.", argc,
        argv);
}
