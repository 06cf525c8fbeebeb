#ifndef JAYDRIFT_DECIDE_FIELD_WRITER_HPP
#define JAYDRIFT_DECIDE_FIELD_WRITER_HPP

#include <concepts>
#include <string>
#include <string_view>

namespace jaydrift::decide {

/// Writes fields one after the other, each with its length in bytes
/// (`5:hello,`), so that a field may hold any byte.
class field_writer
{
public:
    field_writer& add(std::string_view field);

    template<std::integral Number>
    field_writer& add(Number number)
    {
        return add(std::string_view(std::to_string(number)));
    }

    /// Returns the text and leaves the writer empty.
    std::string take() { return std::move(text_); }

private:
    std::string text_;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FIELD_WRITER_HPP
