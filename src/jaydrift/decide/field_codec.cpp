#include <jaydrift/decide/field_reader.hpp>
#include <jaydrift/decide/field_writer.hpp>

#include <cstddef>

namespace jaydrift::decide {

field_writer& field_writer::add(std::string_view field)
{
    text_ += std::to_string(field.size());
    text_ += ':';
    text_ += field;
    text_ += ',';
    return *this;
}

std::string_view field_reader::text()
{
    std::size_t size = 0;
    auto const* const end = rest_.data() + rest_.size();
    auto const [colon, error] = std::from_chars(rest_.data(), end, size);
    if (error != std::errc() || colon == end || *colon != ':')
    {
        throw field_error("field has no length");
    }
    auto const after = static_cast<std::size_t>(end - colon) - 1;
    if (after == 0 || size > after - 1 || colon[1 + size] != ',')
    {
        throw field_error("field is cut off");
    }
    std::string_view const field(colon + 1, size);
    rest_.remove_prefix(rest_.size() - after + size + 1);
    return field;
}

} // namespace jaydrift::decide
