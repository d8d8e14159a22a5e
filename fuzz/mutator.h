#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cornelwind {

/// Generates inputs: takes a valid text of the corpus and applies up to three random edits. The seed is fixed.
class Mutator {
public:
    explicit Mutator(std::vector<std::string> corpus)
        : m_corpus(std::move(corpus))
    {
    }

    std::string next()
    {
        std::string text = m_corpus[m_random() % m_corpus.size()];
        const auto changes = m_random() % 4;
        for (std::uint64_t i = 0; i < changes && !text.empty(); ++i)
            mutate(text, m_random() % text.size());
        return text;
    }

private:
    void mutate(std::string& text, std::size_t at)
    {
        switch (m_random() % 5) {
        case 0:
            text[at] = static_cast<char>(m_random());
            break;
        case 1:
            text.erase(at, m_random() % 8);
            break;
        case 2:
            text.insert(at, 1, static_cast<char>(m_random()));
            break;
        case 3:
            text.insert(at, text.substr(m_random() % text.size(), 12));
            break;
        case 4:
            text.resize(at);
            break;
        }
    }

    std::vector<std::string> m_corpus;
    std::mt19937_64 m_random { 20261204 };
};

} // namespace cornelwind
