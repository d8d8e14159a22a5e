#pragma once

#include "memory_budget.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cornelwind {

/// The body of a request. Copies share the bytes, which count against a memory budget once, until the last copy is destroyed.
class SharedBody {
public:
    SharedBody() = default;
    /// A body that counts against no budget.
    SharedBody(std::string text) // NOLINT(google-explicit-constructor): used as a string
        : m_content(std::make_shared<Content>(std::move(text)))
    {
    }
    SharedBody(const char* text) // NOLINT(google-explicit-constructor): used as a string
        : SharedBody(std::string(text))
    {
    }
    /// @param memory counts the bytes
    SharedBody(std::string text, const MemoryBudgetPtr& memory)
        : SharedBody(std::move(text))
    {
        m_content->charge.emplace(memory, MemoryKind::Request);
        m_content->charge->set(size());
    }

    const std::string& text() const
    {
        static const std::string none;
        return m_content ? m_content->text : none;
    }
    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    /// Registers a call that sends the body, and counts its bytes.
    void beginCall() const
    {
        if (!m_content)
            return;
        ++m_content->calls;
        if (m_content->charge)
            m_content->charge->set(size());
    }
    /// Ends a call that `beginCall` registered. The bytes stay counted.
    void endCall() const
    {
        if (m_content)
            --m_content->calls;
    }
    /// Stops counting the bytes at once, unless another call in progress uses them. For a call that was ended to free memory: its
    /// request ends soon after and releases the bytes. `beginCall` counts them again.
    void stopCounting() const
    {
        if (m_content && !m_content->calls && m_content->charge)
            m_content->charge->set(0);
    }

private:
    struct Content {
        explicit Content(std::string bytes)
            : text(std::move(bytes))
        {
        }

        std::string text;
        std::optional<MemoryCharge> charge;
        /// Number of calls in progress that send the body.
        int calls = 0;
    };

    std::shared_ptr<Content> m_content;
};

} // namespace cornelwind
