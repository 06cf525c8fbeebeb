#include "http_check.hpp"

#include "http_refusal.hpp"

#include <charconv>
#include <system_error>

namespace jaydrift::net {

namespace {

std::size_t parse_length(std::string_view text)
{
    std::size_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, length);
    if (parsed.ec == std::errc::result_out_of_range)
    {
        throw http_refusal(413, "the body is too large");
    }
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        throw http_refusal(400, "Content-Length is not a number");
    }
    return length;
}

std::string_view phrase(int status)
{
    switch (status)
    {
    case 400:
        return "Bad Request";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 414:
        return "URI Too Long";
    case 415:
        return "Unsupported Media Type";
    case 431:
        return "Request Header Fields Too Large";
    default:
        return "Service Unavailable";
    }
}

} // namespace

std::size_t check_body(body_headers const& headers, std::size_t max_body)
{
    if (!headers.content_encoding.empty()
        && headers.content_encoding.front() != "identity")
    {
        throw http_refusal(415, "Content-Encoding is not supported");
    }
    if (!headers.transfer_encoding.empty())
    {
        if (!headers.content_length.empty()
            || headers.transfer_encoding.size() != 1
            || headers.transfer_encoding.front() != "chunked")
        {
            throw http_refusal(400, "Transfer-Encoding is not supported");
        }
        // Chunk headers come on top of the body.
        return max_body + max_body / 16 + 1024;
    }
    if (headers.content_length.empty())
    {
        return 0;
    }
    if (headers.content_length.size() != 1)
    {
        throw http_refusal(400, "Content-Length is given twice");
    }
    auto const length = parse_length(headers.content_length.front());
    if (length > max_body)
    {
        throw http_refusal(413, "the body is larger than "
                                    + std::to_string(max_body) + " bytes");
    }
    return length;
}

std::string format_refusal(int status, std::string_view reason)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out.append(phrase(status))
        .append("\r\nJaydrift-Outcome: not_run\r\nJaydrift-Reason: ")
        .append(reason)
        .append("\r\nContent-Type: text/plain\r\nContent-Length: ")
        .append(std::to_string(reason.size() + 1))
        .append("\r\nConnection: close\r\n\r\n")
        .append(reason)
        .append("\n");
    return out;
}

} // namespace jaydrift::net
