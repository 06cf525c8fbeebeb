#ifndef JAYDRIFT_DECIDE_TEXT_FIELDS_HPP
#define JAYDRIFT_DECIDE_TEXT_FIELDS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

/// Named fields of a small text, one `name=value` a line in the order of the
/// names. Values must hold no line breaks, and elements of lists no commas.
class text_fields
{
public:
    text_fields() = default;

    /// Reads the fields of a text; lines without `=` are ignored.
    explicit text_fields(std::string_view text);

    void set(std::string_view name, std::string_view value);
    void set(std::string_view name, std::uint64_t value);
    void set(std::string_view name, std::span<std::string const> values);

    /// Returns the field's value, or nothing if it does not exist.
    std::optional<std::string> text(std::string_view name) const;

    /// Returns the field's value, or nothing if it does not exist or is not a
    /// number.
    std::optional<std::uint64_t> number(std::string_view name) const;

    /// Returns the field's elements; none if it does not exist.
    std::vector<std::string> list(std::string_view name) const;

    std::string encode() const;

private:
    std::map<std::string, std::string, std::less<>> fields_;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TEXT_FIELDS_HPP
