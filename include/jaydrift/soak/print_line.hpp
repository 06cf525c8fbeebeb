#ifndef JAYDRIFT_SOAK_PRINT_LINE_HPP
#define JAYDRIFT_SOAK_PRINT_LINE_HPP

#include <string>

namespace jaydrift::soak {

/// Effect: prints a line to standard output.
struct print_line
{
    std::string text;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_PRINT_LINE_HPP
