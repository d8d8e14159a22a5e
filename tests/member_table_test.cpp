// Tests the merge rules for what is said of other entry instances.
#include "member_table.h"

#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace std::chrono_literals;

namespace {

enum class Source {
    /// The instance itself.
    Sender,
    /// Another member.
    Report,
};

struct Step {
    Source source;
    std::uint64_t incarnation;
};

struct Case {
    const char* name;
    std::vector<Step> steps;
    /// Whether a message of incarnation 2 is accepted in the end.
    bool acceptsSecond;
    /// Whether one of incarnation 1 is accepted after that.
    bool acceptsFirst;
};

peer::Member makeMember(std::uint64_t incarnation)
{
    peer::Member member;
    member.set_name("b");
    member.set_zone("z");
    member.set_address("10.0.0.2:9000");
    member.set_incarnation(incarnation);
    member.set_state(static_cast<std::uint32_t>(MemberState::Alive));
    return member;
}

} // namespace

TEST_CASE("Only a start that has been heard of directly counts as past, so that late reports of it do not shut out the present one")
{
    const Case cases[] = {
        { "restart", { { Source::Sender, 1 } }, true, false },
        { "restart, reported first", { { Source::Sender, 1 }, { Source::Report, 2 } }, true, false },
        { "late report of the start before", { { Source::Report, 2 }, { Source::Report, 1 } }, true, false },
        { "late report after the present start was heard", { { Source::Sender, 1 }, { Source::Sender, 2 }, { Source::Report, 1 } }, true, false },
    };
    for (const Case& row : cases) {
        CAPTURE(row.name);
        MemberTable members(InstanceName { "a" }, ZoneName { "z" }, {});
        Time now { 100s };
        EffectList effects;
        const auto send = [&](std::uint64_t incarnation) {
            // Longer than a member counts as heard of recently.
            now += 10s;
            Context context(now, 1, effects);
            return members.mergeSender(makeMember(incarnation), context) != nullptr;
        };
        for (const Step& step : row.steps) {
            now += 10s;
            Context context(now, 1, effects);
            if (step.source == Source::Sender)
                members.mergeSender(makeMember(step.incarnation), context);
            else
                members.merge(makeMember(step.incarnation), context);
        }
        CHECK(send(2) == row.acceptsSecond);
        CHECK(send(1) == row.acceptsFirst);
    }
}
