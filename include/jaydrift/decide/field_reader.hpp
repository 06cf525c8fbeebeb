#ifndef JAYDRIFT_DECIDE_FIELD_READER_HPP
#define JAYDRIFT_DECIDE_FIELD_READER_HPP

#include <jaydrift/decide/field_error.hpp>

#include <charconv>
#include <concepts>
#include <cstddef>
#include <string_view>

namespace jaydrift::decide {

/// Reads the fields that `field_writer` wrote, in the same order. The views
/// that it returns point into the text, which must outlive them and the reader.
class field_reader
{
public:
    explicit field_reader(std::string_view text) : rest_(text) {}

    bool empty() const { return rest_.empty(); }

    /// Returns the number of bytes that are not read yet.
    std::size_t size() const { return rest_.size(); }

    /// Returns the next field.
    ///
    /// @throws field_error if there is none or it is malformed.
    std::string_view text();

    /// Returns the next field as a number.
    ///
    /// @throws field_error if there is none, or it is not a number that this
    /// type can hold.
    template<std::integral Number>
    Number number()
    {
        auto const field = text();
        Number value{};
        auto const* const end = field.data() + field.size();
        auto const [read, error] = std::from_chars(field.data(), end, value);
        if (error != std::errc() || read != end)
        {
            throw field_error("field is not a number of the expected type");
        }
        return value;
    }

private:
    std::string_view rest_;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FIELD_READER_HPP
