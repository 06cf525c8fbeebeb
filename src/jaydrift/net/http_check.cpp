#include "http_check.hpp"

#include "http_refusal.hpp"

#include <charconv>
#include <system_error>

namespace jaydrift::net {

namespace {

/// Allowance for the headers of a chunked body: a part of the largest body, and
/// a number of bytes on top.
constexpr std::size_t chunk_overhead_divisor = 16;
constexpr std::size_t chunk_overhead_bytes = 1024;

/// Parses the value of `Content-Length`.
///
/// @throws http_refusal if it is not a number or out of range.
std::size_t parse_content_length(std::string_view text)
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

/// Returns the reason phrase for the status line.
std::string_view reason_phrase(int status)
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

std::size_t check_body_headers(body_headers const& headers,
                               std::size_t max_body_bytes)
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
        // The chunk headers count against the limit as well.
        return max_body_bytes + max_body_bytes / chunk_overhead_divisor
               + chunk_overhead_bytes;
    }
    if (headers.content_length.empty())
    {
        return 0;
    }
    if (headers.content_length.size() != 1)
    {
        throw http_refusal(400, "Content-Length is given twice");
    }
    auto const length = parse_content_length(headers.content_length.front());
    if (length > max_body_bytes)
    {
        throw http_refusal(413, "the body is larger than "
                                    + std::to_string(max_body_bytes)
                                    + " bytes");
    }
    return length;
}

std::string format_refusal(int status, std::string_view reason)
{
    std::string response = "HTTP/1.1 " + std::to_string(status) + ' ';
    response.append(reason_phrase(status))
        .append("\r\nJaydrift-Outcome: not_run\r\nJaydrift-Reason: ")
        .append(reason)
        .append("\r\nContent-Type: text/plain\r\nContent-Length: ")
        .append(std::to_string(reason.size() + 1))
        .append("\r\nConnection: close\r\n\r\n")
        .append(reason)
        .append("\n");
    return response;
}

} // namespace jaydrift::net
