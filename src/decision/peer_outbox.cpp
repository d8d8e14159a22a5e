#include "peer_outbox.h"

#include "peer.pb.h"

#include <utility>

namespace cornelwind {

peer::Envelope& PeerOutbox::messageTo(const InstanceName& member)
{
    std::shared_ptr<peer::Envelope>& message = m_messages[member];
    if (!message)
        message = std::make_shared<peer::Envelope>();
    return *message;
}

void PeerOutbox::send(Context& context)
{
    for (auto& [name, message] : std::exchange(m_messages, {})) {
        if (const MemberRecord* member = m_members.find(name))
            m_gossip.send(*member, std::move(message), context);
    }
}

} // namespace cornelwind
