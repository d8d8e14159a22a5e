#include "request_timeline.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cornelwind {
namespace {

    struct Line {
        std::string time;
        std::string text;
    };

    /// @return the value in `key=value` or `key="value"`, or an empty string if the key is absent
    std::string fieldValue(const std::string& line, const std::string& key)
    {
        const auto position = line.find(" " + key + "=");
        if (position == std::string::npos)
            return {};
        const auto begin = position + key.size() + 2;
        if (begin < line.size() && line[begin] == '"')
            return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
        return line.substr(begin, line.find(' ', begin) - begin);
    }

    bool isServerStateEvent(const std::string& event)
    {
        return event == "server-suspected" || event == "server-cleared" || event == "leaving" || event == "ejected" || event == "returned";
    }

    std::vector<Line> readSortedLines(std::istream& logs)
    {
        std::vector<Line> lines;
        for (std::string text; std::getline(logs, text);) {
            const auto begin = text.find("time=");
            if (begin == std::string::npos)
                continue;
            text.erase(0, begin);
            lines.push_back({ text.substr(5, text.find(' ') - 5), std::move(text) });
        }
        std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.time < b.time; });
        return lines;
    }

} // namespace

std::vector<std::string> buildRequestTimeline(std::istream& logs, const std::string& request)
{
    std::vector<std::string> timeline;
    // Log line of the latest state change, by entry instance and backend server.
    std::map<std::pair<std::string, std::string>, std::string> serverStates;
    for (Line& line : readSortedLines(logs)) {
        const std::string instance = fieldValue(line.text, "instance");
        if (isServerStateEvent(fieldValue(line.text, "event"))) {
            serverStates[{ instance, fieldValue(line.text, "subject") }] = line.text;
            continue;
        }
        if (fieldValue(line.text, "request") != request)
            continue;
        const auto serverState = serverStates.find({ instance, fieldValue(line.text, "server") });
        if (serverState != serverStates.end())
            timeline.push_back("known before: " + serverState->second);
        timeline.push_back(std::move(line.text));
    }
    return timeline;
}

} // namespace cornelwind
