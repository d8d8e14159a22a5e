#pragma once

#include "context.h"
#include "gossip.h"
#include "member_table.h"

#include <map>
#include <memory>

namespace cornelwind {

/// Collects one message to each of several members.
class PeerOutbox {
public:
    PeerOutbox(MemberTable& members, Gossip& gossip)
        : m_members(members)
        , m_gossip(gossip)
    {
    }

    /// @return the message to a member, empty at first
    peer::Envelope& messageTo(const InstanceName& member);
    /// Sends the messages. Those to members that are no longer known are dropped.
    void send(Context& context);

private:
    MemberTable& m_members;
    Gossip& m_gossip;
    std::map<InstanceName, std::shared_ptr<peer::Envelope>> m_messages;
};

} // namespace cornelwind
