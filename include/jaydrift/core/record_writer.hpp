#ifndef JAYDRIFT_CORE_RECORD_WRITER_HPP
#define JAYDRIFT_CORE_RECORD_WRITER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift {

/// Builds a record, such as a value of the store, from fields. Each is written
/// with its length, so that any byte may occur in it.
class record_writer
{
public:
    record_writer& text(std::string_view field);
    record_writer& number(std::int64_t field);
    record_writer& number(std::uint64_t field);

    /// Returns the record and leaves the writer empty.
    std::string take();

private:
    std::string record_;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RECORD_WRITER_HPP
