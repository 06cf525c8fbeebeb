#ifndef JAYDRIFT_APP_EXECUTOR_HEADERS_HPP
#define JAYDRIFT_APP_EXECUTOR_HEADERS_HPP

#include <string_view>

namespace jaydrift::app {

/// Headers of `POST /execute`, with which a worker passes an urgent request to
/// its backend server: the ID and the kind of the request.
inline constexpr std::string_view executor_request_id_header =
    "Jaydrift-Request-Id";
inline constexpr std::string_view executor_kind_header = "Jaydrift-Kind";

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_EXECUTOR_HEADERS_HPP
