#ifndef JAYDRIFT_PROCESS_PRESENCE_HPP
#define JAYDRIFT_PROCESS_PRESENCE_HPP

#include <cstdint>

namespace jaydrift::process {

/// Whether the user must give a setting that has no default.
enum class presence : std::uint8_t
{
    required,
    optional
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_PRESENCE_HPP
