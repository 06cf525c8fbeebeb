#ifndef JAYDRIFT_APP_CONTROL_PARAMETERS_HPP
#define JAYDRIFT_APP_CONTROL_PARAMETERS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::app {

/// Named parameters of a fault control, such as `value=300`.
class control_parameters
{
public:
    /// Takes names with their values; the first value of a name counts.
    explicit control_parameters(
        std::span<std::pair<std::string, std::string> const> pairs);

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
