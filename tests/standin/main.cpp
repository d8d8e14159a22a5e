// Stand-ins for the external systems that tests and examples need: platform, backend server and network. The first
// argument selects one of them.
#include "standin.h"

#include <cstdio>
#include <sstream>

namespace cornelwind::test {

std::map<std::string, std::string> parseKeyValuePairs(const std::string& text)
{
    std::map<std::string, std::string> pairs;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t equals = line.find('=');
        if (equals != std::string::npos)
            pairs[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return pairs;
}

std::string makeResponse(int status, const std::string& body, const std::map<std::string, std::string>& headers)
{
    const std::string digits = std::to_string(status);
    const std::string padding(digits.size() < 3 ? 3 - digits.size() : 0, '0');
    std::string text = "HTTP/1.1 " + padding + digits + " Answer\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + body;
}

} // namespace cornelwind::test

int main(int argc, char** argv)
{
    using namespace cornelwind::test;
    const std::string role = argc > 1 ? argv[1] : "";
    Options options;
    for (int i = 2; i + 1 < argc; i += 2)
        options[std::string(argv[i]).substr(2)] = argv[i + 1];
    if (role == "platform")
        return runPlatform(options);
    if (role == "server")
        return runServer(options);
    if (role == "relay")
        return runRelay(options);
    std::fprintf(stderr, "usage: standin platform|server|relay --listen HOST:PORT [--option value]...\n");
    return 2;
}
