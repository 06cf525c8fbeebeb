#include <jaydrift/app/standin_main.hpp>
#include <jaydrift/app/store_options.hpp>
#include <jaydrift/app/store_process.hpp>

int main(int argc, char** argv)
{
    using namespace jaydrift::app;
    return standin_main<store_options, store_process>(
        "jaydrift-store", JAYDRIFT_VERSION,
        "Simulates the platform's store and VM list, for tests and "
        "demonstrations.",
        argc, argv);
}
