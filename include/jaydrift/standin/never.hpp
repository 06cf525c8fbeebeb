#ifndef JAYDRIFT_STANDIN_NEVER_HPP
#define JAYDRIFT_STANDIN_NEVER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <limits>

namespace jaydrift::standin {

/// Time that is never reached; the next timer of an idle reducer.
inline constexpr time_ms never{std::numeric_limits<std::int64_t>::max()};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_NEVER_HPP
