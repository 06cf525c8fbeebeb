#ifndef JAYDRIFT_DECIDE_FIELD_READER_HPP
#define JAYDRIFT_DECIDE_FIELD_READER_HPP

#include <jaydrift/decide/field_error.hpp>

#include <charconv>
#include <concepts>
#include <string_view>

namespace jaydrift::decide {

/// Reads the fields that `field_writer` wrote. The views point into the text.
class field_reader
{
public:
    explicit field_reader(std::string_view text) : rest_(text) {}

    bool empty() const { return rest_.empty(); }

    /// Returns the next field.
    ///
    /// @throws field_error if there is none or it is malformed.
    std::string_view text();

    /// Returns the next field as a number.
    ///
    /// @throws field_error if it is not a number of this type.
    template<std::integral Number>
    Number number()
    {
        auto const field = text();
        Number value{};
        auto const* const end = field.data() + field.size();
        auto const [read, error] = std::from_chars(field.data(), end, value);
        if (error != std::errc() || read != end)
        {
            throw field_error("field is not a number in range");
        }
        return value;
    }

private:
    std::string_view rest_;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FIELD_READER_HPP
