#ifndef JAYDRIFT_SCHEDULE_PENDING_ROOM_OFFER_HPP
#define JAYDRIFT_SCHEDULE_PENDING_ROOM_OFFER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/room_offer.hpp>

namespace jaydrift::schedule {

/// An offer that the owner of the asking shard has not used yet.
struct pending_room_offer
{
    room_offer offer;
    time_ms received_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PENDING_ROOM_OFFER_HPP
