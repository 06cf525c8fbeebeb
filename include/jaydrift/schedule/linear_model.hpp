#ifndef JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP
#define JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP

#include <jaydrift/schedule/learned_weight.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::schedule {

/// Least squares with named inputs that forgets old samples.
class linear_model
{
public:
    using inputs = std::map<std::string, double, std::less<>>;

    /// Without samples, every weight is `prior`.
    explicit linear_model(double prior) : prior_(prior) {}

    void add(inputs const& x, double y);

    /// Weighs all samples so far down by a factor and computes the weights.
    void refresh(double kept);

    /// Takes over what another model has learned.
    void inherit(std::string const& name, learned_weight const& known);

    /// Returns all weights with the evidence for them.
    std::map<std::string, learned_weight, std::less<>> learned() const;

    /// Weight of an input, at least 0.
    double weight(std::string_view name) const;

private:
    std::size_t index_of(std::string const& name);

    double prior_;
    std::map<std::string, std::size_t, std::less<>> names_;

    /// Normal equations: sums of x * x and of x * y.
    std::vector<std::vector<double>> squares_;
    std::vector<double> products_;
    std::vector<double> weights_;

    /// Weights that were taken over, with what is left of their evidence.
    std::vector<learned_weight> inherited_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP
