#ifndef JAYDRIFT_APP_CONTROL_PARAMETERS_HPP
#define JAYDRIFT_APP_CONTROL_PARAMETERS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jaydrift::app {

/// Named parameters of a fault control, such as `value=300`.
class control_parameters
{
public:
    /// Reads `name=value` pairs, separated by `&`; values are not encoded.
    explicit control_parameters(std::string_view text);

    /// @throws std::invalid_argument if the parameter is missing or empty.
    std::string const& text(std::string_view name) const;

    /// @throws std::invalid_argument if the parameter is missing or is not a
    /// whole number up to `high`.
    std::int64_t number(std::string_view name, std::uint64_t high) const;

private:
    std::map<std::string, std::string, std::less<>> values_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CONTROL_PARAMETERS_HPP
