#ifndef JAYDRIFT_CORE_PEER_ACKNOWLEDGEMENT_HPP
#define JAYDRIFT_CORE_PEER_ACKNOWLEDGEMENT_HPP

namespace jaydrift {

/// Reply to a request that needs no content.
struct peer_acknowledgement
{
    bool accepted = true;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_PEER_ACKNOWLEDGEMENT_HPP
