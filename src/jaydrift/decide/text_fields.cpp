#include <jaydrift/decide/text_fields.hpp>

#include <charconv>

namespace jaydrift::decide {

namespace {

/// Calls `visit` for each part of `text` between separators.
template<class Visit>
void split(std::string_view text, char separator, Visit visit)
{
    while (!text.empty())
    {
        auto const end = text.find(separator);
        visit(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{}
                                             : text.substr(end + 1);
    }
}

} // namespace

text_fields::text_fields(std::string_view text)
{
    split(text, '\n', [&](std::string_view line) {
        auto const middle = line.find('=');
        if (middle != std::string_view::npos)
        {
            set(line.substr(0, middle), line.substr(middle + 1));
        }
    });
}

void text_fields::set(std::string_view name, std::string_view value)
{
    fields_.insert_or_assign(std::string(name), std::string(value));
}

void text_fields::set(std::string_view name, std::uint64_t value)
{
    set(name, std::string_view(std::to_string(value)));
}

void text_fields::set(std::string_view name,
                      std::span<std::string const> values)
{
    std::string joined;
    for (auto const& value : values)
    {
        joined += joined.empty() ? "" : ",";
        joined += value;
    }
    set(name, std::string_view(joined));
}

std::optional<std::string> text_fields::text(std::string_view name) const
{
    auto const found = fields_.find(name);
    return found == fields_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t> text_fields::number(std::string_view name) const
{
    auto const value = text(name);
    if (!value)
    {
        return {};
    }
    std::uint64_t result = 0;
    auto const* const end = value->data() + value->size();
    auto const parsed = std::from_chars(value->data(), end, result);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return {};
    }
    return result;
}

std::vector<std::string> text_fields::list(std::string_view name) const
{
    std::vector<std::string> values;
    auto const joined = text(name).value_or("");
    split(joined, ',',
          [&](std::string_view value) { values.emplace_back(value); });
    return values;
}

std::string text_fields::encode() const
{
    std::string encoded;
    for (auto const& [name, value] : fields_)
    {
        encoded += name + '=' + value + '\n';
    }
    return encoded;
}

} // namespace jaydrift::decide
