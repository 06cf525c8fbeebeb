#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>

#include <strings.h>

#include <algorithm>

namespace jaydrift::net {

namespace {

std::optional<std::string_view> find_header(http_headers const& headers,
                                            std::string_view name)
{
    auto const found =
        std::find_if(headers.begin(), headers.end(), [name](auto const& entry) {
            return entry.first.size() == name.size()
                   && strncasecmp(entry.first.data(), name.data(), name.size())
                          == 0;
        });
    if (found == headers.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace

std::optional<std::string_view>
http_request::header(std::string_view name) const
{
    return find_header(headers, name);
}

std::optional<std::string_view>
http_response::header(std::string_view name) const
{
    return find_header(headers, name);
}

} // namespace jaydrift::net
