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

/// Named parameters of an HTTP call that injects a fault into a stand-in, such
/// as `value=300`. Error messages name the parameter and what is allowed.
class control_parameters
{
public:
    /// Copies pairs of a name and a value. If a name is repeated, its first
    /// value counts.
    explicit control_parameters(
        std::span<std::pair<std::string, std::string> const> pairs);

    /// Returns the value of a parameter.
    ///
    /// @throws std::invalid_argument if the parameter is missing or empty.
    std::string const& text(std::string_view name) const;

    /// Returns the value of a parameter as a number from 0 to `max`.
    ///
    /// @throws std::invalid_argument if the parameter is missing, empty or not
    /// a whole number from 0 to `max`.
    std::int64_t number(std::string_view name, std::uint64_t max) const;

private:
    std::map<std::string, std::string, std::less<>> values_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CONTROL_PARAMETERS_HPP
