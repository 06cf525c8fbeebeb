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

/// The event loop of an `rpc_thread`, and the thread itself. All but `queue`,
/// `run` and `stop` may be used on that thread only.
class rpc_loop : private kj::TaskSet::ErrorHandler
{
public:
    /// Starts the thread and waits until its event loop is set up.
    ///
    /// @throws net_error if the event loop cannot be set up.
    rpc_loop();
    rpc_loop(rpc_loop const&) = delete;
    rpc_loop& operator=(rpc_loop const&) = delete;
    ~rpc_loop();

    /// Work that other threads hand to the thread. It may outlive the loop and
    /// then refuses work.
    std::shared_ptr<work_queue> const& queue() const { return queue_; }

    /// Destroys all tasks and objects of the loop and joins the thread. Must
    /// not be called on the thread.
    void stop();

    /// Runs `work` on the thread, waits for it and returns its result. On the
    /// thread itself, `work` is called directly.
    ///
    /// @throws net_error if `work` throws a KJ exception or the loop has
    /// stopped; other exceptions of `work` are passed on.
    std::uint16_t run(std::function<std::uint16_t()> const& work);

    kj::Timer& timer() { return io_->provider->getTimer(); }

    /// Parses an address of the form `ip:port`.
    ///
    /// @throws net_error if it is not a numeric address with a port.
    kj::Own<kj::NetworkAddress> resolve(std::string_view text);

    /// Runs a promise in the background until it ends or the loop stops, which
    /// destroys it. The promise must handle its own failures.
    void spawn(kj::Promise<void> task) { tasks_->add(kj::mv(task)); }

    /// Returns the object of type `Object` with this name. It is constructed
    /// from the loop and `arguments` on first use and owned by the loop until
    /// it stops.
    template<class Object, class... Arguments>
    Object& shared_object(std::string const& name,
                          Arguments const&... arguments)
    {
        std::pair const key(std::type_index(typeid(Object)), name);
        auto entry = shared_objects_.find(key);
        if (entry == shared_objects_.end())
        {
            auto object = std::make_shared<Object>(*this, arguments...);
            entry = shared_objects_.emplace(key, std::move(object)).first;
        }
        return *std::static_pointer_cast<Object>(entry->second);
    }

    /// Keeps a reference to an object until the loop stops.
    void retain(std::shared_ptr<void> object)
    {
        retained_objects_.push_back(std::move(object));
    }

private:
    /// Runs on the thread; `ready` tells the constructor whether it is set up.
    void run_thread(std::promise<void>& ready);
    void set_up();
    void tear_down();
    /// Runs posted work until the queue is closed.
    kj::Promise<void> process_queue();
    void taskFailed(kj::Exception&& exception) override;

    std::shared_ptr<work_queue> queue_;
    // The members from here to `thread_` are used on the thread only.
    std::unique_ptr<kj::AsyncIoContext> io_;
    kj::Own<kj::AsyncInputStream> wake_stream_;
    std::unique_ptr<kj::TaskSet> tasks_;
    // Target of reads from the eventfd behind `wake_stream_`; its value is
    // unused.
    std::uint64_t wake_count_ = 0;
    std::map<std::pair<std::type_index, std::string>, std::shared_ptr<void>>
        shared_objects_;
    std::vector<std::shared_ptr<void>> retained_objects_;
    std::thread thread_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LOOP_HPP
