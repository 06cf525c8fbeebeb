#ifndef JAYDRIFT_DECIDE_INTERFERENCE_HPP
#define JAYDRIFT_DECIDE_INTERFERENCE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/usage_report.hpp>

namespace jaydrift::decide {

struct interference_table;

namespace workers {

/// Learns the factors of the pairs of kinds that a report shows.
void learn_interference(interference_table& table, usage_report const& usage);

/// Lets every factor decay towards 1 when an ageing step is due.
void decay_interference(interference_table& table, time_ms now);

} // namespace workers

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_INTERFERENCE_HPP
