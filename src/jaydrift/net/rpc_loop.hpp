#ifndef JAYDRIFT_NET_RPC_LOOP_HPP
#define JAYDRIFT_NET_RPC_LOOP_HPP

#include "work_queue.hpp"

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <typeindex>
#include <utility>
#include <vector>

namespace jaydrift::net {

/// The event loop of an `rpc_thread`. All but `queue`, `run` and `stop` may
/// be used on its thread only.
class rpc_loop : private kj::TaskSet::ErrorHandler
{
public:
    /// @throws net_error if the event loop cannot be made.
    rpc_loop();
    rpc_loop(rpc_loop const&) = delete;
    rpc_loop& operator=(rpc_loop const&) = delete;
    ~rpc_loop();

    std::shared_ptr<work_queue> const& queue() const { return queue_; }
    void stop();

    /// Runs `work` on the thread and returns its result.
    ///
    /// @throws net_error if the work failed or the loop has stopped.
    std::uint16_t run(std::function<std::uint16_t()> const& work);

    kj::Timer& timer() { return io_->provider->getTimer(); }

    /// Resolves `ip:port`.
    ///
    /// @throws net_error if it is not a numeric address with a port.
    kj::Own<kj::NetworkAddress> address(std::string_view text);

    /// Runs a promise to its end, or drops it when the loop stops.
    void spawn(kj::Promise<void> task) { tasks_->add(kj::mv(task)); }

    /// Returns the part of a type with a name, made on its first use and kept
    /// until the loop stops.
    template<class Part, class... Arguments>
    Part& part(std::string const& name, Arguments const&... arguments)
    {
        auto& slot = parts_[{typeid(Part), name}];
        if (!slot)
        {
            slot = std::make_shared<Part>(*this, arguments...);
        }
        return *std::static_pointer_cast<Part>(slot);
    }

    /// Keeps an object until the loop stops.
    void keep(std::shared_ptr<void> object)
    {
        kept_.push_back(std::move(object));
    }

private:
    void serve(std::promise<void>& ready);
    void open();
    void close();
    kj::Promise<void> serve_queue();
    void taskFailed(kj::Exception&& exception) override;

    std::shared_ptr<work_queue> queue_;
    // The members below belong to the thread.
    std::unique_ptr<kj::AsyncIoContext> io_;
    kj::Own<kj::AsyncInputStream> wake_;
    std::unique_ptr<kj::TaskSet> tasks_;
    std::uint64_t wakes_ = 0;
    std::map<std::pair<std::type_index, std::string>, std::shared_ptr<void>>
        parts_;
    std::vector<std::shared_ptr<void>> kept_;
    std::thread thread_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LOOP_HPP
