#ifndef JAYDRIFT_STANDIN_ANSWER_BODY_HPP
#define JAYDRIFT_STANDIN_ANSWER_BODY_HPP

#include <string>
#include <string_view>

namespace jaydrift::standin {

/// Returns the answer to a request: a line that names it, repeated up to the
/// size that the payload asks for with `size=<bytes>`. The same request has the
/// same answer everywhere, so a caller can check that it got its own.
std::string answer_body(std::string_view request, std::string_view kind,
                        std::string_view payload);

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ANSWER_BODY_HPP
