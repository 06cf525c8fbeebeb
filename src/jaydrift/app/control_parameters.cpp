#include <jaydrift/app/control_parameters.hpp>

#include <jaydrift/process/setting_values.hpp>

#include <stdexcept>

namespace jaydrift::app {

control_parameters::control_parameters(
    std::span<std::pair<std::string, std::string> const> pairs)
    : values_(pairs.begin(), pairs.end())
{
}

std::string const& control_parameters::text(std::string_view name) const
{
    auto const found = values_.find(name);
    if (found == values_.end() || found->second.empty())
    {
        throw std::invalid_argument("the parameter " + std::string(name)
                                    + " is missing");
    }
    return found->second;
}

std::int64_t control_parameters::number(std::string_view name,
                                        std::uint64_t max) const
{
    std::uint64_t result = 0;
    if (auto const issue = process::parse_number(text(name), 0, max, result))
    {
        throw std::invalid_argument("the parameter " + std::string(name) + ' '
                                    + *issue + "; allowed: 0 to "
                                    + std::to_string(max));
    }
    return static_cast<std::int64_t>(result);
}

} // namespace jaydrift::app
