#ifndef JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP
#define JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP

#include <jaydrift/schedule/learned_weight.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::schedule {

/// Linear regression by least squares. Inputs have names; each has a weight,
/// its coefficient. Old samples count less.
class linear_model
{
public:
    using inputs = std::map<std::string, double, std::less<>>;

    /// Without samples, every weight is `prior`.
    explicit linear_model(double prior) : prior_(prior) {}

    /// Adds a sample of inputs `x` and output `y`. It counts from the next
    /// `decay_and_solve` on. New inputs are ignored once the model has as
    /// many as it can hold.
    void add(inputs const& x, double y);

    /// Multiplies by `kept_share` how much each sample so far counts, and
    /// computes the weights of the inputs.
    void decay_and_solve(double kept_share);

    /// Starts an input with a weight that another model has learned. It counts
    /// as much as samples with the same evidence.
    void restore(std::string const& name, learned_weight const& known);

    /// Returns the weights of all inputs with the evidence for them.
    std::map<std::string, learned_weight, std::less<>> learned_weights() const;

    /// Returns the weight of an input, at least 0; the prior if it is unknown.
    double weight(std::string_view name) const;

private:
    /// Returns the index of an input, which is added if it is new.
    std::size_t index_of(std::string const& name);

    double prior_;
    std::map<std::string, std::size_t, std::less<>> indexes_;

    /// Normal equations: sums of x_i * x_j and of x_i * y.
    std::vector<std::vector<double>> squares_;
    std::vector<double> products_;
    std::vector<double> weights_;

    /// Weights passed to `restore`, with what is left of their evidence.
    std::vector<learned_weight> restored_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LINEAR_MODEL_HPP
