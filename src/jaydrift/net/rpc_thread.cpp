#include <jaydrift/net/rpc_thread.hpp>

#include "rpc_loop.hpp"

#include <utility>

namespace jaydrift::net {

rpc_thread::rpc_thread() : loop_(std::make_unique<rpc_loop>()) {}

rpc_thread::~rpc_thread() = default;

void rpc_thread::post(std::function<void()> work)
{
    loop_->queue()->post(std::move(work));
}

void rpc_thread::stop() { loop_->stop(); }

} // namespace jaydrift::net
