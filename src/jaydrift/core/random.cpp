#include <jaydrift/core/random.hpp>

namespace jaydrift {

std::uint64_t random_source::next()
{
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t value = state_;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return next() % bound;
}

} // namespace jaydrift
