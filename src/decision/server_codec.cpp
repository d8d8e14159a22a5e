#include "server_codec.h"

#include "peer.pb.h"

namespace cornelwind {

ServerChange readEntry(const peer::ServerEntry& row, StorePosition message)
{
    ServerChange change { ServerName { row.name() }, {}, { StoreEra { message.era.value() + row.era_lead() }, row.revision() ? StoreRevision { row.revision() } : message.revision } };
    const auto address = parseEndpoint(row.address());
    if (!address) {
        change.problem = "address " + row.address();
        return change;
    }
    PublishedServer server;
    server.name = change.name;
    server.service = ServiceName { row.service() };
    server.address = *address;
    server.zone = ZoneName { row.zone() };
    server.slots = Slots { row.slots() };
    server.leaving = row.leaving();
    server.warmup = Millis { row.warmup_ms() };
    server.incarnation = row.incarnation();
    change.problem = findProblem(server);
    if (change.problem.empty())
        change.server = std::move(server);
    return change;
}

void writeEntry(const PublishedServer& server, StorePosition position, StoreEra era, peer::ServerEntry& row)
{
    row.set_name(server.name.value());
    row.set_service(server.service.value());
    row.set_address(toString(server.address));
    row.set_zone(server.zone.value());
    row.set_slots(server.slots.value());
    row.set_leaving(server.leaving);
    row.set_warmup_ms(static_cast<std::uint32_t>(server.warmup.count()));
    row.set_incarnation(server.incarnation);
    row.set_revision(position.revision.value());
    row.set_era_lead(position.era.value() - era.value());
}

} // namespace cornelwind
