#ifndef JAYDRIFT_HTTP_FIELDS_HPP
#define JAYDRIFT_HTTP_FIELDS_HPP

#include <string>
#include <utility>
#include <vector>

namespace jaydrift::http {

/// Names and values of header fields, in the order of the message.
using fields = std::vector<std::pair<std::string, std::string>>;

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_FIELDS_HPP
