#include "caller_headers.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <system_error>
#include <utility>

namespace jaydrift::net {

namespace {

/// Longest identifier; the message of `check_id` states the same number.
constexpr std::size_t max_id_length = 128;
constexpr std::int64_t max_time_limit_ms = 600'000;
/// Used for a request without `Jaydrift-Deadline-Ms`.
constexpr std::int64_t default_time_limit_ms = 7800;

/// Tells whether a character is printable ASCII, which includes the space.
bool is_printable(char character)
{
    return character >= ' ' && character <= '~';
}

/// Parses a decimal number from `min` to `max`.
///
/// @throws request_field_error if it is none; the message starts with `field`.
std::int64_t parse_number(std::string_view text, std::string_view field,
                          std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < min
        || number > max)
    {
        throw request_field_error(
            std::string(field) + ": expected a number from "
            + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

std::string parse_kind(http_request const& request)
{
    constexpr std::string_view name = "Jaydrift-Kind";
    auto const value = request.header(name);
    if (!value)
    {
        throw request_field_error(std::string(name)
                                  + ": the header is required");
    }
    return check_id(*value, name);
}

/// Returns how long the caller waits.
time_ms parse_time_limit(http_request const& request)
{
    constexpr std::string_view name = "Jaydrift-Deadline-Ms";
    auto const value = request.header(name);
    return time_ms(value ? parse_number(*value, name, 1, max_time_limit_ms)
                         : default_time_limit_ms);
}

/// Returns when the caller issued the request, by the caller's clock.
std::optional<time_ms> parse_issued_at(http_request const& request)
{
    constexpr std::string_view name = "Jaydrift-Issued-Ms";
    auto const value = request.header(name);
    if (!value)
    {
        return std::nullopt;
    }
    return time_ms(parse_number(*value, name, 0,
                                std::numeric_limits<std::int64_t>::max()));
}

} // namespace

std::string check_id(std::string_view id, std::string_view field)
{
    if (id.empty() || id.size() > max_id_length
        || !std::all_of(id.begin(), id.end(), is_printable)
        || id.find('/') != std::string_view::npos)
    {
        throw request_field_error(std::string(field)
                                  + ": expected 1 to 128 printable characters "
                                    "without '/'");
    }
    return std::string(id);
}

std::string parse_home_region(http_request const& request)
{
    constexpr std::string_view name = "Jaydrift-Home-Region";
    auto const value = request.header(name);
    return value ? check_id(*value, name) : std::string();
}

urgent_request parse_urgent_request(std::string_view id, http_request request)
{
    urgent_request urgent;
    urgent.id = check_id(id, "request ID");
    urgent.kind = parse_kind(request);
    urgent.home_region = parse_home_region(request);
    urgent.issued_at = parse_issued_at(request);
    urgent.time_limit = parse_time_limit(request);
    urgent.payload = std::move(request.body);
    return urgent;
}

} // namespace jaydrift::net
