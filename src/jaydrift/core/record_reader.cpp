#include <jaydrift/core/record_reader.hpp>

#include <jaydrift/core/record_error.hpp>

#include <charconv>
#include <string>

namespace jaydrift {

namespace {

/// @throws record_error if the text is not a number of the type.
template<class Number>
Number parse(std::string_view digits)
{
    Number value = 0;
    auto const* const end = digits.data() + digits.size();
    auto const [stop, error] = std::from_chars(digits.data(), end, value);
    if (error != std::errc() || stop != end)
    {
        throw record_error("record: '" + std::string(digits.substr(0, 20))
                           + "' is not a number");
    }
    return value;
}

} // namespace

std::string_view record_reader::text()
{
    auto const colon = rest_.find(':');
    if (colon == std::string_view::npos)
    {
        throw record_error("record: a field has no length");
    }
    auto const size = parse<std::size_t>(rest_.substr(0, colon));
    rest_.remove_prefix(colon + 1);
    if (size > rest_.size())
    {
        throw record_error("record: a field is cut short");
    }
    auto const field = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return field;
}

std::int64_t record_reader::number() { return parse<std::int64_t>(text()); }

std::uint64_t record_reader::unsigned_number()
{
    return parse<std::uint64_t>(text());
}

std::size_t record_reader::count(std::size_t limit)
{
    auto const value = unsigned_number();
    if (value > limit)
    {
        throw record_error("record: a list has " + std::to_string(value)
                           + " items, more than " + std::to_string(limit));
    }
    return value;
}

} // namespace jaydrift
