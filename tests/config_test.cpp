// Tests of the parsing of settings and sheets: each error is reported with its line and kind.
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

const std::string GOOD_SHEET = R"(version = 3
[[service]]
name = "orders"
floor_slots = 4
weighting = "detection-time"
[[service.server]]
name = "ord-1"
address = "10.0.0.1:80"
zone = "leon"
slots = 4
[[rule]]
method = "POST"
path = "/orders"
service = "orders"
kind = "at-most-once"
)";

const std::string GOOD_SETTINGS = R"([instance]
name = "leon-1"
zone = "leon"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
)";

struct Row {
    const char* name;
    std::string original;
    std::string replacement;
    ErrorKind kind;
    std::uint32_t line;
};

std::string replaced(std::string text, const std::string& original, const std::string& replacement)
{
    const auto position = text.find(original);
    REQUIRE(position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

template <typename Read>
void checkRows(const std::string& good, const std::vector<Row>& rows, Read read)
{
    for (const Row& row : rows) {
        INFO(row.name);
        Reasons reasons;
        CHECK_FALSE(read(replaced(good, row.original, row.replacement), reasons));
        REQUIRE(!reasons.empty());
        CHECK(describe(reasons.front().kind).name == std::string(describe(row.kind).name));
        CHECK(reasons.front().line == row.line);
    }
}

} // namespace

TEST_CASE("A valid sheet is parsed")
{
    Reasons reasons;
    const auto sheet = readSheet(GOOD_SHEET, reasons);
    REQUIRE(sheet);
    CHECK(reasons.empty());
    CHECK(sheet->version == SheetVersion { 3 });
    CHECK(sheet->services.at(0).servers.at(0).address == Endpoint { "10.0.0.1", 80 });
    CHECK(sheet->rules.at(0).kind == RequestKind::AtMostOnce);
    CHECK(sheet->rules.at(0).connection == ConnectionUse::Fresh);
    CHECK(sheet->rules.at(0).tries == 1);
}

TEST_CASE("Caller limits come from the sheet, or are left to the settings")
{
    Reasons reasons;
    const std::string sheet = GOOD_SHEET;
    CHECK_FALSE(readSheet(sheet, reasons)->callers);
    const auto limited = readSheet("max_head_bytes = 2000\nidle_time_ms = 15000\n" + sheet, reasons);
    REQUIRE(limited);
    CHECK(limited->callers == CallerLimits { ByteCount { 2000 }, CallerLimits {}.headTimeout, Millis { 15000 } });
    CHECK_FALSE(readSheet("max_head_bytes = 10\n" + sheet, reasons));
    CHECK(reasons.back().kind == ErrorKind::OutOfRange);
}

TEST_CASE("An invalid sheet is rejected with the line and kind of the error")
{
    const std::vector<Row> rows {
        { "syntax error", "version = 3", "version = ", ErrorKind::SyntaxError, 1 },
        { "no version", "version = 3\n", "", ErrorKind::MissingValue, 1 },
        { "version zero", "version = 3", "version = 0", ErrorKind::OutOfRange, 1 },
        { "version as text", "version = 3", "version = \"3\"", ErrorKind::WrongType, 1 },
        { "unknown key", "floor_slots", "flor_slots", ErrorKind::UnknownKey, 4 },
        { "unknown root key", "version = 3", "version = 3\nextra = 1", ErrorKind::UnknownKey, 2 },
        { "floor above slots", "floor_slots = 4", "floor_slots = 5", ErrorKind::OutOfRange, 4 },
        { "unknown weighting", "detection-time", "fast", ErrorKind::OutOfRange, 5 },
        { "host name as address", "10.0.0.1:80", "ord-1.example:80", ErrorKind::InvalidAddress, 8 },
        { "port out of range", "10.0.0.1:80", "10.0.0.1:70000", ErrorKind::InvalidAddress, 8 },
        { "no port", "10.0.0.1:80", "10.0.0.1", ErrorKind::InvalidAddress, 8 },
        { "zero slots", "slots = 4\n[[rule]]", "slots = 0\n[[rule]]", ErrorKind::OutOfRange, 10 },
        { "negative slots", "slots = 4\n[[rule]]", "slots = -1\n[[rule]]", ErrorKind::OutOfRange, 10 },
        { "name with space", "\"ord-1\"", "\"ord 1\"", ErrorKind::OutOfRange, 7 },
        { "rule without kind", "kind = \"at-most-once\"\n", "", ErrorKind::MissingValue, 11 },
        { "rule of unknown service", "service = \"orders\"", "service = \"order\"", ErrorKind::UnknownService, 14 },
        { "relative path", "\"/orders\"", "\"orders\"", ErrorKind::OutOfRange, 13 },
        { "retries of at-most-once requests", "kind = \"at-most-once\"", "kind = \"at-most-once\"\ntries = 2", ErrorKind::OutOfRange, 16 },
        { "run limit of requests without a key", "kind = \"at-most-once\"", "kind = \"at-most-once\"\nkey = \"none\"\nrun_limit = \"time-limit\"", ErrorKind::OutOfRange, 17 },
        { "hedge of at-most-once requests", "kind = \"at-most-once\"", "kind = \"at-most-once\"\nhedge_after_ms = 5", ErrorKind::OutOfRange, 16 },
        { "service as a table instead of an array of tables", "[[service]]", "[service]", ErrorKind::WrongType, 2 },
    };
    checkRows(GOOD_SHEET, rows, [](const std::string& text, Reasons& reasons) { return readSheet(text, reasons).has_value(); });
}

TEST_CASE("Duplicate rules, duplicate services and sheets that are too large are rejected")
{
    struct Case {
        std::string text;
        ErrorKind kind;
    };
    const std::string rule = GOOD_SHEET.substr(GOOD_SHEET.find("[[rule]]"));
    const std::string service = GOOD_SHEET.substr(GOOD_SHEET.find("[[service]]"), GOOD_SHEET.find("[[rule]]") - GOOD_SHEET.find("[[service]]"));
    const std::vector<Case> cases {
        { GOOD_SHEET + rule, ErrorKind::DuplicateName },
        { GOOD_SHEET + service, ErrorKind::DuplicateName },
        { GOOD_SHEET + "#" + std::string(MAX_SHEET_BYTES, ' '), ErrorKind::SheetTooLarge },
    };
    for (const Case& test : cases) {
        Reasons reasons;
        CHECK_FALSE(readSheet(test.text, reasons));
        CHECK(reasons.at(0).kind == test.kind);
    }
}

TEST_CASE("Valid settings are parsed, and invalid ones are rejected with the line and kind of the error")
{
    Reasons reasons;
    const auto settings = readSettings(GOOD_SETTINGS, reasons);
    REQUIRE(settings);
    CHECK(settings->callers == Endpoint { "127.0.0.1", 8080 });
    const std::vector<Row> rows {
        { "no name", "name = \"leon-1\"\n", "", ErrorKind::MissingValue, 1 },
        { "unknown section", "[listen]", "[extra]\n[listen]", ErrorKind::UnknownKey, 4 },
        { "misspelled required key", "admin =", "admn =", ErrorKind::MissingValue, 4 },
        { "host name as address", "127.0.0.1:8082", "localhost:8082", ErrorKind::InvalidAddress, 7 },
        { "number as text", "[listen]", "[limits]\nconnections = \"5\"\n[listen]", ErrorKind::WrongType, 5 },
        { "out of range", "[listen]", "[limits]\nconnections = 0\n[listen]", ErrorKind::OutOfRange, 5 },
        { "too little memory", "[listen]", "[limits]\nmemory_mb = 63\n[listen]", ErrorKind::OutOfRange, 5 },
        { "unknown log level", "[listen]", "[log]\nlevel = \"loud\"\n[listen]", ErrorKind::OutOfRange, 5 },
        { "invalid seed address", "admin = ", "seeds = [\"x\"]\nadmin = ", ErrorKind::InvalidAddress, 7 },
        { "route without address", "[listen]", "[[peer_route]]\ninstance = \"b\"\n[listen]", ErrorKind::MissingValue, 4 },
    };
    checkRows(GOOD_SETTINGS, rows, [](const std::string& text, Reasons& found) { return readSettings(text, found).has_value(); });
}

TEST_CASE("Every error has a unique name, a title and a remedy")
{
    std::vector<std::string> names;
    for (const ErrorInfo& info : allErrors()) {
        CHECK(std::string(info.title).back() == '.');
        CHECK(std::string(info.remedy).back() == '.');
        CHECK(std::find(names.begin(), names.end(), info.name) == names.end());
        names.emplace_back(info.name);
    }
}
