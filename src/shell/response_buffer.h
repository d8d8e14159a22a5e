#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <string_view>

namespace cornelwind {

/// Receive buffer of responses that tells whether a head has folded lines.
///
/// A line that begins with a space or a tab continues the field before it (obsolete line folding, RFC 9112, 5.2). The parser joins it
/// to that field, so a damaged field such as " Content-Length: 5" is lost without an error and spoils the value of its neighbour.
class ResponseBuffer : public boost::beast::flat_buffer {
public:
    /// @param limit most bytes that may be held
    explicit ResponseBuffer(std::size_t limit)
        : basic_flat_buffer(limit)
    {
    }

    /// Observes the lines that are consumed from now on.
    void beginHead()
    {
        m_inHead = true;
        m_atLineStart = false;
        m_hasFoldedLine = false;
    }

    /// Ends the observation, once the parser has consumed the head.
    ///
    /// @return whether a line after the first began with a space or a tab
    bool endHead()
    {
        m_inHead = false;
        return m_hasFoldedLine;
    }

    /// Removes bytes that have been parsed. Hides the function of the base, which the read operations of the HTTP library would call.
    void consume(std::size_t count)
    {
        if (m_inHead)
            observe(std::string_view(static_cast<const char*>(data().data()), size()).substr(0, count));
        basic_flat_buffer::consume(count);
    }

private:
    void observe(std::string_view head)
    {
        for (const char c : head) {
            m_hasFoldedLine = m_hasFoldedLine || (m_atLineStart && (c == ' ' || c == '\t'));
            m_atLineStart = c == '\n';
        }
    }

    bool m_inHead = false;
    bool m_atLineStart = false;
    bool m_hasFoldedLine = false;
};

} // namespace cornelwind
