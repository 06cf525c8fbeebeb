#include <jaydrift/schedule/linear_model.hpp>

#include <algorithm>

namespace jaydrift::schedule {

namespace {

/// Evidence for the prior. A typical sample, in which one neighbour has
/// changed, adds a squared input of about 0.005.
constexpr double prior_strength = 0.02;

/// Bounds the time to solve for the weights; further inputs are ignored.
constexpr std::size_t max_inputs = 32;

/// Solves the symmetric positive definite system a * x = b by Gaussian
/// elimination.
std::vector<double> solve(std::vector<std::vector<double>> a,
                          std::vector<double> b)
{
    auto const size = b.size();
    for (std::size_t i = 0; i < size; ++i)
    {
        for (std::size_t row = i + 1; row < size; ++row)
        {
            auto const factor = a[row][i] / a[i][i];
            for (std::size_t column = i; column < size; ++column)
            {
                a[row][column] -= factor * a[i][column];
            }
            b[row] -= factor * b[i];
        }
    }
    for (std::size_t i = size; i-- > 0;)
    {
        for (std::size_t column = i + 1; column < size; ++column)
        {
            b[i] -= a[i][column] * b[column];
        }
        b[i] /= a[i][i];
    }
    return b;
}

} // namespace

std::size_t linear_model::index_of(std::string const& name)
{
    auto const [found, added] = indexes_.try_emplace(name, indexes_.size());
    if (added)
    {
        for (auto& row : squares_)
        {
            row.push_back(0.0);
        }
        squares_.emplace_back(indexes_.size(), 0.0);
        products_.push_back(0.0);
        weights_.push_back(prior_);
        restored_.emplace_back();
    }
    return found->second;
}

void linear_model::add(inputs const& x, double y)
{
    std::vector<std::pair<std::size_t, double>> known;
    for (auto const& [name, value] : x)
    {
        if (indexes_.size() < max_inputs || indexes_.contains(name))
        {
            known.emplace_back(index_of(name), value);
        }
    }
    for (auto const& [i, value] : known)
    {
        products_[i] += value * y;
        for (auto const& [j, other] : known)
        {
            squares_[i][j] += value * other;
        }
    }
}

void linear_model::decay_and_solve(double kept_share)
{
    for (std::size_t i = 0; i < products_.size(); ++i)
    {
        products_[i] *= kept_share;
        restored_[i].evidence *= kept_share;
        for (auto& value : squares_[i])
        {
            value *= kept_share;
        }
    }
    auto a = squares_;
    auto b = products_;
    for (std::size_t i = 0; i < b.size(); ++i)
    {
        auto const& restored = restored_[i];
        a[i][i] += prior_strength + restored.evidence;
        b[i] += prior_strength * prior_ + restored.evidence * restored.weight;
    }
    weights_ = solve(std::move(a), std::move(b));
}

void linear_model::restore(std::string const& name, learned_weight const& known)
{
    if (indexes_.size() >= max_inputs && !indexes_.contains(name))
    {
        return;
    }
    auto const index = index_of(name);
    restored_[index] = known;
    weights_[index] = known.weight;
}

std::map<std::string, learned_weight, std::less<>>
linear_model::learned_weights() const
{
    std::map<std::string, learned_weight, std::less<>> result;
    for (auto const& [name, index] : indexes_)
    {
        result.emplace(name, learned_weight{weights_[index],
                                            squares_[index][index]
                                                + restored_[index].evidence});
    }
    return result;
}

double linear_model::weight(std::string_view name) const
{
    auto const found = indexes_.find(name);
    return found == indexes_.end() ? prior_
                                   : std::max(0.0, weights_[found->second]);
}

} // namespace jaydrift::schedule
