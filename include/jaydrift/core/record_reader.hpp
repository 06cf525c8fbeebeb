#ifndef JAYDRIFT_CORE_RECORD_READER_HPP
#define JAYDRIFT_CORE_RECORD_READER_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jaydrift {

/// Reads the fields of a record that `record_writer` built. Every function
/// throws `record_error` if the record is cut short or malformed.
class record_reader
{
public:
    /// `record` must outlive the reader and the views that it returns.
    explicit record_reader(std::string_view record) : rest_(record) {}

    /// Returns the next field, as a view into the record.
    std::string_view text();
    std::int64_t number();
    std::uint64_t unsigned_number();

    /// Returns the number of items of a list; also throws if it is more than
    /// `limit`.
    std::size_t count(std::size_t limit);

    bool at_end() const { return rest_.empty(); }

private:
    std::string_view rest_;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RECORD_READER_HPP
