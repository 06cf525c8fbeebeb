#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>

#include <boost/beast/core/string.hpp>

namespace jaydrift::http {

namespace {

std::string_view find(fields const& headers, std::string_view name)
{
    for (auto const& [key, value] : headers)
    {
        if (boost::beast::iequals({key.data(), key.size()},
                                  {name.data(), name.size()}))
        {
            return value;
        }
    }
    return {};
}

} // namespace

std::string_view request::header(std::string_view name) const
{
    return find(headers, name);
}

std::string_view response::header(std::string_view name) const
{
    return find(headers, name);
}

} // namespace jaydrift::http
