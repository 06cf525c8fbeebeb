#ifndef JAYDRIFT_SOAK_EFFECT_HPP
#define JAYDRIFT_SOAK_EFFECT_HPP

#include <jaydrift/soak/finish.hpp>
#include <jaydrift/soak/print_line.hpp>
#include <jaydrift/soak/respond.hpp>
#include <jaydrift/soak/send_call.hpp>
#include <jaydrift/soak/set_link.hpp>
#include <jaydrift/soak/signal_process.hpp>
#include <jaydrift/soak/start_process.hpp>

#include <variant>
#include <vector>

namespace jaydrift::soak {

/// Effect that the reducer of the soak test returns.
using effect = std::variant<respond, send_call, signal_process, start_process,
                            set_link, print_line, finish>;

using effect_list = std::vector<effect>;

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_EFFECT_HPP
