#include "simulated_store_test.hpp"

namespace jaydrift::schedule::testing {

namespace {

store_area area_of(record_kind kind)
{
    switch (kind)
    {
    case record_kind::configuration:
    case record_kind::zone_closure:
        return store_area::operators;
    case record_kind::worker:
        return store_area::workers;
    case record_kind::layout:
    case record_kind::owner:
    case record_kind::roster:
    case record_kind::member:
    case record_kind::assignment:
    case record_kind::task_assignment:
        return store_area::coordination;
    default:
        return store_area::submissions;
    }
}

} // namespace

store_replied simulated_store::read(read_area const& request)
{
    store_replied reply;
    reply.status = store_status::ok;
    reply.revision = revision_;
    for (auto const& [key, item] : items_)
    {
        auto const area = area_of(key.kind);
        auto const listed =
            request.area == store_area::assignments
                ? key.kind == record_kind::assignment
                      || key.kind == record_kind::task_assignment
                : area == request.area;
        if (listed
            && (area != store_area::submissions || key.shard == request.shard))
        {
            reply.items.push_back(item);
        }
    }
    return reply;
}

store_replied simulated_store::read(read_record const& request)
{
    store_replied reply;
    auto const found = items_.find(request.key);
    reply.status =
        found == items_.end() ? store_status::not_found : store_status::ok;
    reply.revision = revision_;
    if (found != items_.end())
    {
        reply.items.push_back(found->second);
    }
    return reply;
}

store_replied simulated_store::read(read_revision const&)
{
    store_replied reply;
    reply.status = store_status::ok;
    reply.revision = revision_;
    return reply;
}

store_replied simulated_store::write(store_transaction const& request)
{
    store_replied reply;
    for (auto const& [key, revision] : request.expected)
    {
        auto const found = items_.find(key);
        auto const present = found == items_.end() ? 0 : found->second.revision;
        if (present != revision)
        {
            reply.status = store_status::conflict;
        }
        if (found != items_.end())
        {
            reply.items.push_back(found->second);
        }
    }
    if (reply.status == store_status::conflict)
    {
        return reply;
    }
    ++revision_;
    for (auto const& [key, record] : request.puts)
    {
        items_[key] = {key, revision_, false, record};
        append_history(items_[key]);
    }
    for (auto const& key : request.removals)
    {
        items_.erase(key);
        append_history({key, revision_, true, {}});
    }
    reply = {};
    reply.status = store_status::ok;
    reply.revision = revision_;
    return reply;
}

std::optional<store_replied> simulated_store::changes(watch_area const& request)
{
    store_replied reply;
    if (request.after < compacted_)
    {
        reply.status = store_status::compacted;
        return reply;
    }
    reply.status = store_status::ok;
    reply.revision = revision_;
    for (auto const& item : history_)
    {
        if (item.revision > request.after
            && area_of(item.key.kind) == request.area)
        {
            reply.items.push_back(item);
        }
    }
    return reply.items.empty() ? std::nullopt : std::optional(reply);
}

void simulated_store::put(record_key const& key, store_record const& record)
{
    ++revision_;
    items_[key] = {key, revision_, false, record};
    append_history(items_[key]);
}

void simulated_store::remove(record_key const& key)
{
    if (items_.erase(key) > 0)
    {
        ++revision_;
        append_history({key, revision_, true, {}});
    }
}

void simulated_store::compact()
{
    history_.clear();
    compacted_ = revision_;
}

void simulated_store::append_history(store_item const& item)
{
    history_.push_back(item);
}

} // namespace jaydrift::schedule::testing
