#include <cstdlib>
#include <exception>
#include <iostream>
#include <span>

#include <jaydrift/app/operator_commands.hpp>

int main(int argc, char** argv)
{
    try
    {
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        return jaydrift::app::run_operator_command(
            arguments.subspan(1), JAYDRIFT_VERSION, std::cout, std::cerr);
    }
    catch (std::exception const& error)
    {
        std::cerr << "jaydriftctl: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
