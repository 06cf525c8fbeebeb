#ifndef JAYDRIFT_APP_PRESENCE_HPP
#define JAYDRIFT_APP_PRESENCE_HPP

#include <cstdint>

namespace jaydrift::app {

/// Whether a setting without a default has to be given.
enum class presence : std::uint8_t
{
    required,
    optional
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_PRESENCE_HPP
