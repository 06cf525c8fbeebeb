#ifndef JAYDRIFT_STANDIN_ANSWER_BODY_HPP
#define JAYDRIFT_STANDIN_ANSWER_BODY_HPP

#include <string>
#include <string_view>

namespace jaydrift::standin {

/// Returns the answer to a request: a line with its kind, ID, payload size and
/// payload hash. If the payload contains `size=<bytes>`, the line is repeated
/// to fill that size, at most 64 MiB. Equal requests have equal answers on
/// every server, so a caller can check that it got the answer to its own
/// request.
std::string answer_body(std::string_view request, std::string_view kind,
                        std::string_view payload);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ANSWER_BODY_HPP
