#ifndef JAYDRIFT_NET_HTTP_HEADERS_HPP
#define JAYDRIFT_NET_HTTP_HEADERS_HPP

#include <string>
#include <utility>
#include <vector>

namespace jaydrift::net {

/// Names and values of HTTP headers. A name may occur more than once.
using http_headers = std::vector<std::pair<std::string, std::string>>;

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_HTTP_HEADERS_HPP
