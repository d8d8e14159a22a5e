#include "cornelwind/reducer.h"

#include "reducer_state.h"

#include <utility>

namespace cornelwind {

Reducer::Reducer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Reducer::Reducer(Reducer&&) noexcept = default;
Reducer& Reducer::operator=(Reducer&&) noexcept = default;
Reducer::~Reducer() = default;

void Reducer::apply(const Event& event, EffectList& effects)
{
    m_state->apply(event, effects);
}

void Reducer::setSender(peer::Envelope& message) const
{
    m_state->setSender(message);
}

Status Reducer::status(Time now) const
{
    return m_state->status(now);
}

Counters Reducer::counters() const
{
    return m_state->counters();
}

std::vector<Decision> Reducer::explain(const std::string& subject, std::size_t maxCount) const
{
    return m_state->explain(subject, maxCount);
}

Reducer::Builder& Reducer::Builder::settings(Settings settings)
{
    m_settings = std::move(settings);
    return *this;
}

Reducer::Builder& Reducer::Builder::incarnation(Incarnation incarnation)
{
    m_incarnation = incarnation;
    return *this;
}

Reducer::Builder& Reducer::Builder::secret(const KeySecret& secret)
{
    m_secret = secret;
    return *this;
}

Reducer::Builder& Reducer::Builder::start(Time start)
{
    m_start = start;
    return *this;
}

Reducer::Builder& Reducer::Builder::sheetReader(SheetReader reader)
{
    m_reader = std::move(reader);
    return *this;
}

Reducer Reducer::Builder::build()
{
    return Reducer(std::make_unique<State>(m_settings, m_incarnation, m_secret, m_start, m_reader));
}

} // namespace cornelwind
