#include <jaydrift/standin/answer_body.hpp>

#include <jaydrift/core/hash.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace jaydrift::standin {

namespace {

constexpr std::size_t max_answer_bytes = std::size_t{64} << 20U;

/// Returns the number after `size=` in a payload, at most `max_answer_bytes`,
/// or 0 if there is none.
std::size_t requested_size(std::string_view payload)
{
    constexpr std::string_view name = "size=";
    auto const position = payload.find(name);
    if (position == std::string_view::npos)
    {
        return 0;
    }
    payload.remove_prefix(position + name.size());
    std::size_t size = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), size);
    return std::min(size, max_answer_bytes);
}

} // namespace

std::string answer_body(std::string_view request, std::string_view kind,
                        std::string_view payload)
{
    std::string line(kind);
    line.append(1, ' ').append(request).append(1, ' ');
    line.append(std::to_string(payload.size())).append(1, ' ');
    line.append(std::to_string(stable_hash(payload))).append(1, '\n');
    auto const size = requested_size(payload);
    if (size == 0)
    {
        return line;
    }
    std::string body;
    body.reserve(size + line.size());
    while (body.size() < size)
    {
        body += line;
    }
    body.resize(size);
    return body;
}

} // namespace jaydrift::standin
