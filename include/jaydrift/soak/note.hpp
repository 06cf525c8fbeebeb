#ifndef JAYDRIFT_SOAK_NOTE_HPP
#define JAYDRIFT_SOAK_NOTE_HPP

#include <string>

namespace jaydrift::soak {

/// Effect: prints a line.
struct note
{
    std::string text;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_NOTE_HPP
