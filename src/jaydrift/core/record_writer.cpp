#include <jaydrift/core/record_writer.hpp>

#include <utility>

namespace jaydrift {

record_writer& record_writer::text(std::string_view field)
{
    record_ += std::to_string(field.size());
    record_ += ':';
    record_ += field;
    return *this;
}

record_writer& record_writer::number(std::int64_t field)
{
    return text(std::to_string(field));
}

record_writer& record_writer::number(std::uint64_t field)
{
    return text(std::to_string(field));
}

std::string record_writer::take()
{
    return std::exchange(record_, std::string());
}

} // namespace jaydrift
